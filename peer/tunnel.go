package peer

import (
	"bufio"
	"context"
	"net"
	"net/rpc"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/tunnel"
)

// A tunnel begins with a call of net/rpc on a connection of its own, which a host of a version
// without tunnels answers with an error. After a reply with the code tunnel.Opened, all further bytes
// belong to the endpoint's connection.

// OpenTunnel implements tunnel.Opener.
func (r *Router) OpenTunnel(ctx context.Context, h blackboard.Host, q tunnel.Request) (net.Conn, tunnel.Reply, error) {
	conn, err := r.TunnelDial(ctx, "tcp", h.Peers)
	if err != nil {
		return nil, tunnel.Reply{}, errors.Wrap(err, "tunnel")
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	r.Traffic.Calls.Add(1)
	opened, reply, err := r.requestTunnel(conn, q)
	if !stop() {
		return nil, tunnel.Reply{}, ctx.Err()
	}
	if err != nil || reply.Code != tunnel.Opened {
		conn.Close()
		return nil, reply, err
	}
	tunnel.KeepAlive(conn)
	if reply.Framed {
		return tunnel.NewFramedConn(opened), reply, nil
	}
	return tunnel.NewUnframedConn(opened), reply, nil
}

// requestTunnel makes the call that begins a tunnel, and returns the connection for the bytes after
// its reply.
func (r *Router) requestTunnel(conn net.Conn, q tunnel.Request) (net.Conn, tunnel.Reply, error) {
	var reply tunnel.Reply
	codec := &clientCodec{wire: newWire(conn, &r.PurposeTraffic)}
	if err := codec.WriteRequest(&rpc.Request{ServiceMethod: methodTunnel}, &q); err != nil {
		return nil, reply, errors.Wrap(err, "tunnel")
	}
	var header rpc.Response
	if err := codec.ReadResponseHeader(&header); err != nil {
		return nil, reply, errors.Wrap(err, "tunnel")
	}
	if strings.HasPrefix(header.Error, "rpc: can't find") {
		return nil, reply, tunnel.ErrNotSupported
	}
	if header.Error != "" {
		return nil, reply, errors.Errorf("tunnel: %s", header.Error)
	}
	if err := codec.ReadResponseBody(&reply); err != nil {
		return nil, reply, errors.Wrap(err, "tunnel")
	}
	return &bufferedConn{Conn: conn, unread: codec.read.Reader}, reply, nil
}

// bufferedConn is a connection of which some bytes may have been read ahead.
type bufferedConn struct {
	net.Conn
	unread *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) {
	if n := c.unread.Buffered(); n > 0 {
		return c.unread.Read(p[:min(n, len(p))])
	}
	return c.Conn.Read(p)
}

// serveTunnel answers the request for a tunnel and passes its bytes on until it ends. The host that
// asks must send nothing before it has the reply.
func (r *Router) serveTunnel(ctx context.Context, c net.Conn, codec *serverCodec, first *rpc.Request) {
	var q tunnel.Request
	if err := codec.ReadRequestBody(&q); err != nil || codec.read.Reader.Buffered() > 0 {
		c.Close()
		return
	}
	r.Tunnels.Serve(ctx, c, q, func(reply tunnel.Reply) error {
		err := codec.WriteResponse(&rpc.Response{ServiceMethod: first.ServiceMethod, Seq: first.Seq}, &reply)
		if err != nil {
			return err
		}
		return c.SetWriteDeadline(time.Time{})
	})
}
