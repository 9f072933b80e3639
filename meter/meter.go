// Package meter counts what connections carry, so that the cost of control can
// be measured where it arises.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// PacketOverhead is what TCP and IPv4 add to each packet, in bytes, with the
// timestamp option. A write of a control message is one packet.
const PacketOverhead = 52

// Traffic counts bytes of payload and writes. The zero value works.
type Traffic struct {
	In, Out atomic.Uint64
	Writes  atomic.Uint64
	Reads   atomic.Uint64
	Calls   atomic.Uint64
}

// Fetches counts calls that fetch what is newer elsewhere. The zero value works.
type Fetches struct {
	Done, Failed atomic.Uint64
	Documents    atomic.Uint64 // documents that came, the same one several times included
}

// OnWire returns the bytes sent and received with the overhead of packets and
// of their acknowledgements.
func (t *Traffic) OnWire() uint64 {
	packets := t.Writes.Load() + t.Reads.Load()
	return t.In.Load() + t.Out.Load() + packets*PacketOverhead
}

// Conn counts a connection's traffic.
type Conn struct {
	net.Conn
	T *Traffic
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.T.In.Add(uint64(n))
	c.T.Reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.T.Out.Add(uint64(n))
	c.T.Writes.Add(1)
	return n, err
}

// Dial is how connections are opened.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counted returns a dial whose connections are counted.
func Counted(dial Dial, t *Traffic) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Conn{c, t}, nil
	}
}
