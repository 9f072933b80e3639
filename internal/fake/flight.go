package fake

import (
	"sync"
	"time"
)

// SetLinkWindow sets how many bytes of a connection may be queued at the links of its hosts at
// a time, as with the window of a TCP connection. A connection that carries much then delays
// others on the same link by up to its window. It applies to connections opened from now on.
func (n *Network) SetLinkWindow(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.window = bytes
}

func (n *Network) linkWindow() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.window
}

// flight is what one end of a connection has sent and the other hasn't received yet. Chunks
// pass the sender's link, then the receiver's, in order.
type flight struct {
	c      *conn
	window int
	to     *Link
	from   *Link

	mu      sync.Mutex
	queued  int // bytes in flight
	failed  bool
	ended   bool
	changed chan struct{} // closed and replaced when a chunk has arrived
	sent    chan passing  // chunks that pass the sender's link
	done    chan struct{} // closed when all have arrived after the end
}

// passing is a chunk that will have passed a link at a time.
type passing struct {
	chunk []byte
	at    time.Time
}

// maxPassing is how many chunks may pass the links at a time.
const maxPassing = 1024

func newFlight(c *conn, window int, from, to *Link) *flight {
	f := &flight{c: c, window: window, from: from, to: to, changed: make(chan struct{}), sent: make(chan passing, maxPassing), done: make(chan struct{})}
	received := make(chan passing, maxPassing)
	go func() {
		defer close(received)
		for p := range f.sent {
			time.Sleep(time.Until(p.at))
			received <- passing{p.chunk, f.to.queue(len(p.chunk), receiving)}
		}
	}()
	go func() {
		defer close(f.done)
		for p := range received {
			time.Sleep(time.Until(p.at))
			f.arrive(p.chunk)
		}
	}()
	return f
}

// arrive hands a chunk to the receiver.
func (f *flight) arrive(chunk []byte) {
	_, err := f.c.Conn.Write(chunk)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && !f.failed {
		f.failed = true
		close(f.c.peerClosed)
	}
	f.queued -= len(chunk)
	close(f.changed)
	f.changed = make(chan struct{})
}

// add queues a chunk once the window has room. It reports whether the receiver still reads.
func (f *flight) add(chunk []byte) bool {
	for {
		f.mu.Lock()
		failed, room, changed := f.failed, f.queued == 0 || f.queued+len(chunk) <= f.window, f.changed
		if !failed && room {
			f.queued += len(chunk)
		}
		f.mu.Unlock()
		switch {
		case failed:
			return false
		case room:
			f.sent <- passing{chunk, f.from.queue(len(chunk), sending)}
			return true
		}
		<-changed
	}
}

// landTimeout bounds how long a closed connection waits for a receiver that doesn't read.
const landTimeout = 5 * time.Second

// land waits until all chunks have arrived. No chunk may be added after that.
func (f *flight) land() {
	if f == nil {
		return
	}
	f.mu.Lock()
	ended := f.ended
	f.ended = true
	f.mu.Unlock()
	if !ended {
		_ = f.c.Conn.SetWriteDeadline(time.Now().Add(landTimeout))
		close(f.sent)
	}
	<-f.done
}
