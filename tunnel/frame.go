package tunnel

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/pkg/errors"
)

// What an endpoint sends is passed on in frames, each a length of two bytes and as many bytes. A frame of length 0 tells
// that the endpoint has ended its side. Without it the end of a gateway's process would look like the end of an answer.

// frameHeader is the size of a frame's length, in bytes.
const frameHeader = 2

// readFrame reads from a connection into the rest of a buffer, and returns the buffer as a frame.
func readFrame(from io.Reader, buf []byte) (frame []byte, n int, err error) {
	n, err = from.Read(buf[frameHeader:])
	binary.BigEndian.PutUint16(buf, uint16(n))
	return buf[:frameHeader+n], n, err
}

// framedConn reads frames from a connection. It writes without frames.
type framedConn struct {
	net.Conn
	left  int // bytes of the current frame
	ended bool
}

// NewFramedConn returns the connection of a host over a gateway that frames what the endpoint sends.
func NewFramedConn(conn net.Conn) net.Conn { return &framedConn{Conn: conn} }

// Read implements net.Conn. It returns io.ErrUnexpectedEOF if the connection ends without the endpoint's end.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(c.left, len(p))])
	c.left -= n
	return n, unexpected(err)
}

// unframedConn is the connection of a host over a gateway of a version that knows no frames.
type unframedConn struct{ net.Conn }

// NewUnframedConn returns the connection of a host over a gateway that passes on bytes as they are. Its end tells nothing of
// the endpoint's, so an answer over it is whole only if it states its length.
func NewUnframedConn(conn net.Conn) net.Conn { return &unframedConn{conn} }

// Read implements net.Conn. It returns io.ErrUnexpectedEOF at the end of the connection.
func (c *unframedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, unexpected(err)
}

func (c *framedConn) readHeader() error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
		return unexpected(err)
	}
	c.left = int(binary.BigEndian.Uint16(header[:]))
	c.ended = c.left == 0
	return nil
}

// unexpected returns the error for an end of a connection before that of its endpoint.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
