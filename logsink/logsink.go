// Package logsink writes log lines without ever holding up who logs them.
//
// Lines wait in a buffer of fixed size for one writer of their own. When a
// reader of the output is slow or gone and the buffer is full, further lines
// are dropped and counted; the count is told in the next line that is written.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBytes is the size of the buffer that New gives a sink.
const DefaultBytes = 1 << 20

// Sink is a zapcore.WriteSyncer that doesn't block. Use New.
type Sink struct {
	out     io.Writer
	limit   int
	dropped atomic.Uint64
	writes  atomic.Uint64

	mu      sync.Mutex
	waiting [][]byte
	size    int
	told    uint64 // dropped lines that were told of
	closed  bool
	wake    chan struct{}
	quit    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out and holds limit bytes at the most; 0
// stands for DefaultBytes.
func New(out io.Writer, limit int) *Sink {
	if limit == 0 {
		limit = DefaultBytes
	}
	s := &Sink{out: out, limit: limit, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line over. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || s.size+len(line) > s.limit {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	s.waiting = append(s.waiting, append([]byte(nil), line...))
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

// Close writes what still waits and ends the writer. The returned channel is
// closed when it has; a reader that stopped for good holds that up.
func (s *Sink) Close() <-chan struct{} {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
	}
	s.mu.Unlock()
	return s.done
}

// take returns the lines that wait, and one that tells of dropped ones.
func (s *Sink) take() (lines [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, s.waiting, s.size = s.waiting, nil, 0
	if n := s.dropped.Load(); n > s.told {
		lines = append(lines, fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n-s.told))
		s.told = n
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
	lines := s.take()
	for _, line := range lines {
		if _, err := s.out.Write(line); err == nil {
			s.writes.Add(1)
		}
	}
}
