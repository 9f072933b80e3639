package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// TestBlocked logs to a pipe that nobody reads: no line may wait, and what
// doesn't fit is counted and told of once the pipe is read.
func TestBlocked(t *testing.T) {
	r, w := io.Pipe()
	s := New(w, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 100 {
		s.Write(line) // would hang here if it waited for the reader
	}
	if n := s.Dropped(); n < 80 || n > 95 {
		t.Errorf("%d lines dropped of 100 with room for 10 and one under way, want about 90", n)
	}
	closed := s.Close()
	var got bytes.Buffer
	go func() {
		<-closed
		w.Close()
	}()
	io.Copy(&got, r)
	if !strings.Contains(got.String(), `"log lines dropped"`) {
		t.Error("dropped lines are not told of")
	}
	if n := bytes.Count(got.Bytes(), []byte("xxx\n")); uint64(n) != 100-s.Dropped() {
		t.Errorf("%d lines read, %d dropped of 100", n, s.Dropped())
	}
}

// TestOrder checks that lines keep their order and none is lost with a reader.
func TestOrder(t *testing.T) {
	var got bytes.Buffer
	s := New(&got, 0)
	var want strings.Builder
	for i := range 2000 {
		line := strings.Repeat("y", i%50) + "\n"
		want.WriteString(line)
		s.Write([]byte(line))
	}
	<-s.Close()
	s.Write([]byte("late\n"))
	if got.String() != want.String() || s.Dropped() != 1 || s.Written() != 2000 {
		t.Errorf("%d bytes of %d, %d dropped, %d written", got.Len(), want.Len(), s.Dropped(), s.Written())
	}
}
