package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/meter"
)

// pipe passes on bytes between the host that asked for a tunnel and the endpoint.
type pipe struct {
	near    net.Conn
	traffic *meter.Traffic
	ready   chan struct{} // closed when far is set, or the tunnel has ended
	once    sync.Once
	far     net.Conn      // nil: there is none
	closed  chan struct{} // closed once the host has closed its connection
	framed  bool          // what the endpoint sends is passed on in frames
}

func newPipe(near net.Conn, t *meter.Traffic) *pipe {
	return &pipe{near: near, traffic: t, ready: make(chan struct{}), closed: make(chan struct{})}
}

// end ends a tunnel that wasn't opened.
func (p *pipe) end() { p.once.Do(func() { close(p.ready) }) }

// run passes on bytes in both directions until the tunnel ends.
func (p *pipe) run(far net.Conn) {
	p.once.Do(func() {
		p.far = far
		close(p.ready)
	})
	err := p.copy(p.near, far)
	if err != nil {
		reset(p.near)
		return
	}
	if finish(p.near) {
		<-p.closed
	}
}

// forward passes on what the host sends. Once the host closes its connection, that to the endpoint
// is closed too, also if it is still being opened: cancel ends that.
func (p *pipe) forward(cancel context.CancelFunc) {
	defer close(p.closed)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := p.near.Read(*buf)
		if n == 0 && err != nil {
			cancel()
		}
		if n == 0 && err == nil {
			continue
		}
		<-p.ready
		if p.far == nil {
			return
		}
		if n > 0 {
			p.count(n)
			if _, werr := p.far.Write((*buf)[:n]); werr != nil {
				_, _ = io.Copy(io.Discard, p.near) // the other direction reads why
				return
			}
		}
		if err != nil {
			p.far.Close()
			return
		}
	}
}

// copy passes on what the endpoint sends until it ends its answer. It returns an error if the
// connection breaks off instead.
func (p *pipe) copy(to, from net.Conn) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		piece, n, err := p.read(from, *buf)
		if n > 0 {
			p.count(n)
			if _, werr := to.Write(piece); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return p.writeEnd(to)
		}
		if err != nil {
			return err
		}
	}
}

// read reads what the endpoint sends, and returns what is passed on for it.
func (p *pipe) read(from net.Conn, buf []byte) (piece []byte, n int, err error) {
	if p.framed {
		return readFrame(from, buf)
	}
	n, err = from.Read(buf)
	return buf[:n], n, err
}

// writeEnd passes on that the endpoint has ended its side.
func (p *pipe) writeEnd(to net.Conn) error {
	if !p.framed {
		return nil
	}
	_, err := to.Write(make([]byte, frameHeader))
	return err
}

func (p *pipe) count(n int) {
	p.traffic.In.Add(uint64(n))
	p.traffic.Out.Add(uint64(n))
}

// bufferSize is the size of the buffer of each direction, in bytes.
const bufferSize = 16 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// lingerTimeout bounds the wait for a host to close a tunnel whose endpoint has ended its answer.
const lingerTimeout = 3 * time.Second

// finish ends a tunnel after a whole answer. It reports whether the host has yet to close the
// connection: a close with unread bytes would discard the end of the answer.
func finish(near net.Conn) (waits bool) {
	half, ok := near.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	return near.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil
}

// reset ends a tunnel with a reset, as the endpoint did: an answer that broke off must not look
// complete.
func reset(near net.Conn) {
	if tcp, ok := near.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// Keep-alive probes find out a peer that has lost its power or its link; one that is only paused
// still answers them.
const (
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// KeepAlive sets the keep-alive probes of a connection of a tunnel.
func KeepAlive(conn net.Conn) {
	if tcp, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount})
	}
}
