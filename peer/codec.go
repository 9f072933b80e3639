package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/embercove/embercove/meter"
)

// The codec of net/rpc's own, gob after gob over one connection, with the bytes of each
// message counted by what it is for. Which call a byte belongs to is known here alone.

// wire is one end of a connection between hosts.
type wire struct {
	conn  io.ReadWriteCloser
	dec   *gob.Decoder
	enc   *gob.Encoder
	out   *bufio.Writer
	read  *countingReader
	wrote *countingWriter
	spent *meter.Ledger
}

func newWire(conn io.ReadWriteCloser, spent *meter.Ledger) *wire {
	w := &wire{conn: conn, out: bufio.NewWriter(conn), spent: spent}
	w.read = &countingReader{Reader: bufio.NewReader(conn)}
	w.wrote = &countingWriter{w: w.out}
	w.dec, w.enc = gob.NewDecoder(w.read), gob.NewEncoder(w.wrote)
	return w
}

// send writes a header and a body as one message and returns its bytes.
func (w *wire) send(header, body any) (int, error) {
	w.wrote.n = 0
	if err := w.enc.Encode(header); err != nil {
		return 0, err
	}
	if err := w.enc.Encode(body); err != nil {
		return 0, err
	}
	return w.wrote.n, w.out.Flush()
}

// body reads the body of a message and returns the bytes of it all.
func (w *wire) body(into any) (int, error) {
	err := w.dec.Decode(into)
	n := w.read.n
	w.read.n = 0
	return n, err
}

// Close closes the connection.
func (w *wire) Close() error { return w.conn.Close() }

// countingReader counts what is taken out of a buffer. It reads single bytes, so gob puts
// no buffer of its own before it.
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

// asking is the end of a connection that makes calls.
type asking struct {
	*wire
	method string // of the answer that is being read
}

// newClient returns a client whose calls are counted.
func newClient(conn io.ReadWriteCloser, spent *meter.Ledger) *rpc.Client {
	return rpc.NewClientWithCodec(&asking{wire: newWire(conn, spent)})
}

// WriteRequest implements rpc.ClientCodec.
func (c *asking) WriteRequest(r *rpc.Request, body any) error {
	n, err := c.send(r, body)
	s := c.spent.Of(purposeOf(r.ServiceMethod, body))
	s.Out.Add(uint64(n))
	s.Made.Add(1)
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *asking) ReadResponseHeader(r *rpc.Response) error {
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *asking) ReadResponseBody(body any) error {
	n, err := c.body(body)
	c.spent.Of(purposeOf(c.method, body)).In.Add(uint64(n))
	return err
}

// answering is the end of a connection that answers calls.
type answering struct {
	*wire
	method string // of the call that is being read
}

// WriteResponse implements rpc.ServerCodec. What can't be written ends the connection, or
// the other end would wait for it.
func (c *answering) WriteResponse(r *rpc.Response, body any) error {
	n, err := c.send(r, body)
	if err != nil {
		c.Close()
		return err
	}
	s := c.spent.Of(purposeOf(r.ServiceMethod, body))
	s.Out.Add(uint64(n))
	s.Answered.Add(1)
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *answering) ReadRequestHeader(r *rpc.Request) error {
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *answering) ReadRequestBody(body any) error {
	n, err := c.body(body)
	c.spent.Of(purposeOf(c.method, body)).In.Add(uint64(n))
	return err
}

// purposeOf returns what a message is for: by its method and, of exchanges, by what they
// tell.
func purposeOf(method string, body any) meter.Purpose {
	switch method {
	case methodExchange:
		return purposeOfExchange(body)
	case methodFetch:
		return meter.Fetch
	case methodReserve, methodEnqueue, methodRelease:
		return meter.Owners
	case methodDraw, methodSettle:
		return meter.Quotas
	case methodKeyBegin, methodKeyEnd:
		return meter.Keys
	case methodPing:
		return meter.Pings
	case methodStanding:
		return meter.News
	}
	return meter.Books
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
		return meter.News
	}
	return meter.Exchange
}
