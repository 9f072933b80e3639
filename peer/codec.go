package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/embercove/embercove/meter"
)

// This is the gob codec of net/rpc, extended to count the bytes of each message by purpose. Only
// the codec knows which call a byte belongs to.

// wire is one end of a connection between hosts.
type wire struct {
	conn     io.ReadWriteCloser
	dec      *gob.Decoder
	enc      *gob.Encoder
	out      *bufio.Writer
	read     *countingReader
	written  *countingWriter
	purposes *meter.PurposeTraffic
}

func newWire(conn io.ReadWriteCloser, purposes *meter.PurposeTraffic) *wire {
	w := &wire{conn: conn, out: bufio.NewWriter(conn), purposes: purposes}
	w.read = &countingReader{Reader: bufio.NewReader(conn)}
	w.written = &countingWriter{w: w.out}
	w.dec, w.enc = gob.NewDecoder(w.read), gob.NewEncoder(w.written)
	return w
}

// send writes a header and a body as one message and returns its bytes.
func (w *wire) send(header, body any) (int, error) {
	w.written.n = 0
	if err := w.enc.Encode(header); err != nil {
		return 0, err
	}
	if err := w.enc.Encode(body); err != nil {
		return 0, err
	}
	return w.written.n, w.out.Flush()
}

// readBody reads the body of a message and returns the size of the whole message.
func (w *wire) readBody(into any) (int, error) {
	err := w.dec.Decode(into)
	n := w.read.n
	w.read.n = 0
	return n, err
}

// Close closes the connection.
func (w *wire) Close() error { return w.conn.Close() }

// countingReader counts the bytes read from a buffer. It implements io.ByteReader so that gob
// adds no buffer of its own.
type countingReader struct {
	*bufio.Reader
	n int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.n++
	}
	return b, err
}

// countingWriter counts what is written.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.n += n
	return n, err
}

// clientCodec is the calling end of a connection.
type clientCodec struct {
	*wire
	method string // of the response being read
}

// newClient returns a client that counts the bytes of its calls.
func newClient(conn io.ReadWriteCloser, purposes *meter.PurposeTraffic) *rpc.Client {
	return rpc.NewClientWithCodec(&clientCodec{wire: newWire(conn, purposes)})
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	n, err := c.send(r, body)
	s := c.purposes.Of(purposeOf(r.ServiceMethod, body))
	s.Out.Add(uint64(n))
	s.Made.Add(1)
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	n, err := c.readBody(body)
	c.purposes.Of(purposeOf(c.method, body)).In.Add(uint64(n))
	return err
}

// serverCodec is the answering end of a connection.
type serverCodec struct {
	*wire
	method string       // of the request being read
	first  *rpc.Request // read ahead; nil: none
}

// readFirst reads the header of the first request.
func (c *serverCodec) readFirst() (*rpc.Request, error) {
	first := new(rpc.Request)
	err := c.ReadRequestHeader(first)
	c.first = first
	return first, err
}

// WriteResponse implements rpc.ServerCodec. It closes the connection if the response can't be
// written; otherwise the caller would keep waiting for it.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	n, err := c.send(r, body)
	if err != nil {
		c.Close()
		return err
	}
	s := c.purposes.Of(purposeOf(r.ServiceMethod, body))
	s.Out.Add(uint64(n))
	s.Answered.Add(1)
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.first != nil {
		*r, c.first = *c.first, nil
		return nil
	}
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	n, err := c.readBody(body)
	c.purposes.Of(purposeOf(c.method, body)).In.Add(uint64(n))
	return err
}

// purposeOf returns the purpose of a message, from its method and, for exchanges, from their
// content.
func purposeOf(method string, body any) meter.Purpose {
	switch method {
	case methodExchange:
		return purposeOfExchange(body)
	case methodFetch:
		return meter.Fetch
	case methodReserve, methodEnqueue, methodRelease:
		return meter.OwnerCalls
	case methodDraw, methodSettle:
		return meter.Quotas
	case methodKeyBegin, methodKeyEnd:
		return meter.Keys
	case methodPing, methodPingFor:
		return meter.Pings
	case methodTunnel:
		return meter.Tunnels
	case methodStanding:
		return meter.Announcements
	}
	return meter.OwnerSync
}

func purposeOfExchange(body any) meter.Purpose {
	var e ExchangeReply
	switch m := body.(type) {
	case *ExchangeArgs:
		e = ExchangeReply(*m)
	case *ExchangeReply:
		e = *m
	}
	switch {
	case e.All:
		return meter.Members
	case e.News:
		return meter.Announcements
	}
	return meter.Exchange
}
