package logsink

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// TestBlocked logs to a pipe that nobody reads. A write that waited for the reader would
// block the logging caller. Lines that don't fit must be counted, and their number reported
// once the pipe is read.
func TestBlocked(t *testing.T) {
	r, w := io.Pipe()
	s := New(w, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 100 {
		s.Write(line) // hangs if it waits for the reader
	}
	if n := s.Dropped(); n < 80 || n > 95 {
		t.Errorf("%d lines dropped of 100 with space for 10 and one being written, want about 90", n)
	}
	closed := s.Close()
	var output bytes.Buffer
	go func() {
		<-closed
		w.Close()
	}()
	io.Copy(&output, r)
	if !strings.Contains(output.String(), `"log lines dropped"`) {
		t.Error("dropped lines are not reported")
	}
	if n := bytes.Count(output.Bytes(), []byte("xxx\n")); uint64(n) != 100-s.Dropped() {
		t.Errorf("%d lines read, %d dropped of 100", n, s.Dropped())
	}
}

// TestOrder checks that lines keep their order, and that none is lost while the output is read.
// A line after Close is dropped.
func TestOrder(t *testing.T) {
	var output bytes.Buffer
	s := New(&output, 0)
	var want strings.Builder
	for i := range 2000 {
		line := strings.Repeat("y", i%50) + "\n"
		want.WriteString(line)
		s.Write([]byte(line))
	}
	<-s.Close()
	s.Write([]byte("late\n"))
	if output.String() != want.String() || s.Dropped() != 1 || s.Written() != 2000 {
		t.Errorf("%d bytes of %d, %d dropped, %d written", output.Len(), want.Len(), s.Dropped(), s.Written())
	}
}
