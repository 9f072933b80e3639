// Package logsink writes log lines without ever blocking the caller that logs them.
//
// Lines are queued in a buffer of fixed size and written by a goroutine. If the reader
// of the output is slow or gone and the buffer is full, further lines are dropped and
// counted; a line with their number follows the next lines that are written.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBytes is the default size of the buffer of a sink.
const DefaultBytes = 1 << 20

// Sink is a zapcore.WriteSyncer that doesn't block. Use New.
type Sink struct {
	out     io.Writer
	limit   int
	dropped atomic.Uint64
	writes  atomic.Uint64

	mu            sync.Mutex
	queued        [][]byte
	size          int
	reportedDrops uint64 // dropped lines that were already reported in the output
	closed        bool
	wake          chan struct{}
	quit          chan struct{}
	done          chan struct{}
}

// New returns a sink that writes to out and queues at most limit bytes; 0 means
// DefaultBytes.
func New(out io.Writer, limit int) *Sink {
	if limit == 0 {
		limit = DefaultBytes
	}
	s := &Sink{out: out, limit: limit, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of line. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || s.size+len(line) > s.limit {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	s.queued = append(s.queued, append([]byte(nil), line...))
	s.size += len(line)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It doesn't wait; Close does.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Written returns how many lines were written.
func (s *Sink) Written() uint64 { return s.writes.Load() }

// Close has the queued lines written and ends the writing goroutine. The returned
// channel is closed when that is done, which is never if nobody reads the output.
func (s *Sink) Close() <-chan struct{} {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
	}
	s.mu.Unlock()
	return s.done
}

// takeLines empties the queue and returns its lines, followed by a report of newly dropped
// lines if there are any.
func (s *Sink) takeLines() (lines [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.queued, s.size = s.queued, nil, 0
	if n := s.dropped.Load(); n > s.reportedDrops {
		lines = append(lines, fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n-s.reportedDrops))
		s.reportedDrops = n
	}
	return lines
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case <-s.wake:
			s.flush()
		case <-s.quit:
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	lines := s.takeLines()
	for _, line := range lines {
		if _, err := s.out.Write(line); err == nil {
			s.writes.Add(1)
		}
	}
}
