package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode says what a proxy does with the traffic through it.
type Mode int32

// Modes of a proxy.
const (
	Pass       Mode = iota
	Delayed         // bytes are delayed by proxyDelay
	Reset           // open connections are reset, new ones refused
	SilentUp        // bytes from callers are dropped
	SilentDown      // bytes to callers are dropped
	Cut             // bytes are held back until the mode changes, as in a network partition
	ModeCount       // number of modes
)

// String returns the mode's name.
func (m Mode) String() string {
	return [ModeCount]string{"pass", "delayed", "reset", "silent up", "silent down", "cut"}[m]
}

// proxyDelay is the delay of bytes in mode Delayed: several round trips between failure domains,
// but less than any timeout.
const proxyDelay = 80 * time.Millisecond

// Proxy forwards TCP connections to an address, over a rate-limited link, and injects network
// faults that neither end causes.
type Proxy struct {
	addr     string
	target   string
	link     *Link
	mode     atomic.Int32
	lastSent atomic.Int64 // when a caller last sent something, in nanoseconds since 1970

	mu       sync.Mutex
	listener net.Listener
	conns    map[*proxiedConn]bool
}

// proxiedConn is one connection that a proxy forwards.
type proxiedConn struct {
	caller, upstream net.Conn
	silent           atomic.Bool // drops all further bytes, whatever the mode
}

// proxyHost returns the loopback address that all proxies of a process listen on.
var proxyHost = sync.OnceValue(LoopbackHost)

// NewProxy returns a proxy that listens on a loopback address and forwards connections to a
// target. A nil link has no limit.
func NewProxy(target string, link *Link) (*Proxy, error) {
	l, err := net.Listen("tcp", proxyHost()+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{addr: l.Addr().String(), listener: l, target: target, link: link, conns: map[*proxiedConn]bool{}}
	go p.acceptLoop(l)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.addr }

// ActiveWithin reports whether a caller has sent something within the last d.
func (p *Proxy) ActiveWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, p.lastSent.Load())) < d
}

// Close stops the proxy for good and resets its connections.
func (p *Proxy) Close() {
	p.Stop()
	p.SetMode(Pass) // releases goroutines that wait in mode Cut
}

// Stop resets the open connections and refuses new ones, as when the process at the address has
// exited.
func (p *Proxy) Stop() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.Reset()
}

// Relisten listens on the same address again, after Stop.
func (p *Proxy) Relisten() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.acceptLoop(l)
	return nil
}

func (p *Proxy) acceptLoop(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward forwards one connection until one of its ends closes it.
func (p *Proxy) forward(c net.Conn) {
	if Mode(p.mode.Load()) == Reset {
		abort(c)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	pc := &proxiedConn{caller: c, upstream: upstream}
	p.mu.Lock()
	p.conns[pc] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(pc, upstream, c, sending, done)
	go p.copy(pc, c, upstream, receiving, done)
	<-done
	if pc.silent.Load() {
		time.Sleep(silentLinger) // the other end must not see the close
	}
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
	c.Close()
	upstream.Close()
}

// silentLinger is how long the other end of a silent connection stays open once one end is closed:
// longer than any caller waits for an answer on it.
const silentLinger = 5 * time.Second

// drops reports whether a mode drops bytes in a direction.
func (m Mode) drops(d direction) bool {
	return m == SilentUp && d == sending || m == SilentDown && d == receiving
}

func (p *Proxy) copy(pc *proxiedConn, to, from net.Conn, d direction, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, linkChunk)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if d == sending {
			p.lastSent.Store(time.Now().UnixNano())
		}
		mode := p.waitWhileCut()
		if mode.drops(d) {
			pc.silent.Store(true) // the stream now has a gap: nothing after it may pass
		}
		if pc.silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if mode == Delayed {
			time.Sleep(proxyDelay)
		}
		p.link.transmit(n, d)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// cutPollInterval is how often a connection held back in mode Cut checks the mode.
const cutPollInterval = 20 * time.Millisecond

// waitWhileCut waits until the mode isn't Cut and returns it.
func (p *Proxy) waitWhileCut() Mode {
	for {
		if m := Mode(p.mode.Load()); m != Cut {
			return m
		}
		time.Sleep(cutPollInterval)
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Reset resets every open connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		abort(pc.caller)
		abort(pc.upstream)
	}
	clear(p.conns)
}

// Silence makes all open connections drop their traffic for good, without a reset, as when a
// device on the path loses its connection state. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		pc.silent.Store(true)
	}
}

// SetMode changes the mode. Changing from SilentUp or SilentDown resets the open connections, as
// bytes of their streams were dropped.
func (p *Proxy) SetMode(m Mode) {
	if old := Mode(p.mode.Swap(int32(m))); m == Reset || old == SilentUp || old == SilentDown {
		p.Reset()
	}
}
