package stand

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Sizes of answers, as in the site file.
const (
	eventBytes = 280
	pageBytes  = 800
)

// Flush sends what was written so far.
func Flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// Stream writes the events of a stream from the one after the caller's last event, and calls pause
// before each. It ends when pause reports that the caller is gone.
func Stream(w http.ResponseWriter, q *http.Request, s *Server, events int, pause func() bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get(Word("last-event")))
	attempt := q.Header.Get(Word("attempt"))
	for i := last + 1; i <= events; i++ {
		if !pause() {
			s.Printf("the caller of %s is gone before event %d", attempt, i)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", eventBytes))
		Flush(w)
	}
	s.Printf("has written all events of %s", attempt)
}

// Pause waits, and reports whether the caller of a request is still there.
func Pause(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}

// Page writes the answer of a plain service after some work.
func Page(w http.ResponseWriter, q *http.Request, s *Server, work time.Duration) {
	attempt := q.Header.Get(Word("attempt"))
	if !Pause(q, work) {
		s.Printf("the caller of %s is gone", attempt)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(pageBytes))
	_, _ = w.Write([]byte(strings.Repeat("r", pageBytes)))
	s.Printf("has answered %s", attempt)
}

// EventIDs returns the ids of the whole events of a stream, in order. Comments are no events.
func EventIDs(body string) (ids []int) {
	blocks := strings.Split(body, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		for line := range strings.Lines(block) {
			if v, ok := strings.CutPrefix(line, "id:"); ok {
				n, _ := strconv.Atoi(strings.TrimSpace(v))
				ids = append(ids, n)
			}
		}
	}
	return ids
}

// FirstGap returns the first event id that isn't the one due, and the one due; 0 if there is none.
func FirstGap(ids []int) (got, due int) {
	for i, id := range ids {
		if id != i+1 {
			return id, i + 1
		}
	}
	return 0, 0
}
