// Package tunnel connects to endpoints that this host doesn't reach by way of another host.
//
// A host whose links to endpoints are lost may still reach other hosts. Dialer, through which all
// calls to endpoints but orders are connected, then asks one of these, a gateway, to open the
// connection and to pass its bytes on. The gateway decides nothing: choices, tries, deadlines and
// cancels stay with the host that the caller reached. A gateway connects to endpoints only over its
// own link, so there is at most one host in between.
package tunnel

import (
	"context"
	"net"

	"github.com/embercove/embercove/blackboard"
)

// Request asks a host to open a connection to an endpoint and to pass its bytes on.
type Request struct {
	From    uint32 // number of the host that asks
	Address string // IP:port of the endpoint
	Framed  bool   // the host that asks knows frames
}

// Code is a gateway's answer to a Request.
type Code uint8

// The codes. Their numbers are sent to other hosts.
const (
	Opened  Code = iota + 1 // all further bytes belong to the endpoint's connection
	Refused                 // the endpoint refused the connection
	Silent                  // the endpoint didn't accept the connection in time
	CutOff                  // the gateway doesn't reach the endpoint either, but other hosts do
	Unknown                 // no endpoint is registered at the address, or the host that asks isn't known
	Busy                    // the gateway passes on as many connections as it can
	Leaving                 // the gateway is about to stop
)

// String implements fmt.Stringer.
func (c Code) String() string {
	names := [...]string{"no answer", "opened", "refused", "silent", "cut off", "unknown", "busy", "leaving"}
	if int(c) >= len(names) {
		return "unknown code"
	}
	return names[c]
}

// Reply answers a Request.
type Reply struct {
	Code Code
	// LostPaths tells that the gateway may have lost its links to endpoints itself: it has reached no
	// other one meanwhile, so that its failure says little about this one.
	LostPaths bool
	// Via is the number of a host by way of which the gateway reaches endpoints; 0: it knows none.
	Via uint32
	// Framed tells that what the endpoint sends comes in frames.
	Framed bool
}

// Opener asks other hosts for tunnels.
type Opener interface {
	// OpenTunnel asks a host for a tunnel. The connection is nil unless the code is Opened. An error
	// means that the host didn't answer, or that it knows no tunnels (ErrNotSupported).
	OpenTunnel(ctx context.Context, h blackboard.Host, q Request) (net.Conn, Reply, error)
}
