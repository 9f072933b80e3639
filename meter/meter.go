// Package meter counts the traffic of connections, so that the overhead of control
// traffic can be measured at its source.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// PacketOverhead is the size of the TCP and IPv4 headers of a packet in bytes, with
// the TCP timestamp option. A control message is written as one packet.
const PacketOverhead = 52

// Traffic counts payload bytes, reads, writes and calls. The zero value is ready to use.
type Traffic struct {
	In, Out atomic.Uint64
	Writes  atomic.Uint64
	Reads   atomic.Uint64
	Calls   atomic.Uint64
}

// Fetches counts the calls that fetch newer documents and rosters from peers. The zero
// value is ready to use.
type Fetches struct {
	Done, Failed atomic.Uint64
	Documents    atomic.Uint64 // documents received, duplicates included
}

// OnWire returns the bytes sent and received, including the headers of packets and
// acknowledgements.
func (t *Traffic) OnWire() uint64 {
	packets := t.Writes.Load() + t.Reads.Load()
	return t.In.Load() + t.Out.Load() + packets*PacketOverhead
}

// Conn is a connection whose traffic is counted in Traffic.
type Conn struct {
	net.Conn
	Traffic *Traffic
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Traffic.In.Add(uint64(n))
	c.Traffic.Reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Traffic.Out.Add(uint64(n))
	c.Traffic.Writes.Add(1)
	return n, err
}

// Dial is a function that opens connections.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counted wraps a Dial so that the traffic of its connections is counted in t.
func Counted(dial Dial, t *Traffic) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Conn{c, t}, nil
	}
}
