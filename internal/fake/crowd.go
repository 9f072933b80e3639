package fake

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Misbehavior is what each caller of a Crowd does on a connection of its own. A caller keeps its connection open and reads
// nothing unless it says so.
type Misbehavior struct {
	// Head is the request line and the fields of the request, each line ended, without those that frame the body. CallerMark in
	// it becomes the caller's number. Empty: the caller sends nothing at all.
	Head string
	// Fields is how many further fields of a few bytes the head has.
	Fields int
	// Unfinished heads lack the empty line at their end.
	Unfinished bool
	// Body is the length of the body in bytes, unless Content is its content.
	Body    int
	Content string
	// Chunk is the size of the body's chunks in bytes; 0: the body has a length.
	Chunk int
	// Piece is how much of the request is written at once, in bytes; 0: all.
	Piece int
	// Withheld is how many bytes at the end of the body are never sent. Of a body in chunks the last chunk is withheld with them.
	Withheld int
	// Idles has the caller send a whole request, read the answer and rest.
	Idles bool
	// Returns has the caller come back whenever its connection is closed, until the crowd is.
	Returns bool
}

// CallerMark stands for the caller's number in the head of a Misbehavior.
const CallerMark = "{caller}"

// crowdAttempts is how often a caller of a crowd connects again after it was turned away.
const crowdAttempts = 3

// crowdWriteTimeout bounds one write of a caller whose host doesn't read.
const crowdWriteTimeout = 20 * time.Second

// Crowd is a number of callers that misbehave at once.
type Crowd struct {
	address string
	m       Misbehavior
	rest    []byte // of each request, behind its head

	returning sync.WaitGroup

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// StartCrowd has n callers send what they will, and returns once they all have, or were turned away as often as they try.
// Connections that the host leaves open stay open until Close.
func StartCrowd(address string, n int, m Misbehavior) *Crowd {
	c := &Crowd{address: address, m: m, rest: m.rest(), open: map[net.Conn]struct{}{}}
	var callers sync.WaitGroup
	for i := range n {
		callers.Go(func() {
			for range crowdAttempts {
				if _, err := c.call(i); err == nil {
					return
				}
			}
		})
	}
	callers.Wait()
	if m.Returns {
		for i := range n {
			c.returning.Go(func() { c.callAgain(i) })
		}
	}
	return c
}

// returnPause is the time until a caller comes back.
const returnPause = 20 * time.Millisecond

// callAgain has a caller come back until the crowd is closed.
func (c *Crowd) callAgain(caller int) {
	for !c.isClosed() {
		if conn, err := c.call(caller); err == nil {
			_, _ = io.Copy(io.Discard, conn) // ends when the host closes the connection
			c.drop(conn)
		}
		time.Sleep(returnPause)
	}
}

// drop closes a connection that the host has closed.
func (c *Crowd) drop(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// call makes one attempt of a caller, and returns its connection.
func (c *Crowd) call(caller int) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", c.address, crowdWriteTimeout)
	if err != nil {
		return nil, err
	}
	c.keep(conn)
	if err := c.sendRequest(conn, caller); err != nil {
		c.drop(conn)
		return nil, err
	}
	return conn, nil
}

// sendRequest sends what a caller sends of its request.
func (c *Crowd) sendRequest(conn net.Conn, caller int) error {
	head := strings.ReplaceAll(c.m.Head, CallerMark, strconv.Itoa(caller))
	for _, part := range [][]byte{[]byte(head), c.rest} {
		if err := c.send(conn, part); err != nil {
			return err
		}
	}
	if !c.m.Idles {
		return nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(crowdWriteTimeout))
	_, err := io.ReadAtLeast(conn, make([]byte, 1<<10), 1)
	return err
}

// send writes a part of a request, piece by piece.
func (c *Crowd) send(conn net.Conn, part []byte) error {
	for len(part) > 0 {
		n := len(part)
		if c.m.Piece > 0 {
			n = min(n, c.m.Piece)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
		if _, err := conn.Write(part[:n]); err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

// keep keeps a connection open until the crowd is closed.
func (c *Crowd) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.open[conn] = struct{}{}
}

// Close closes all connections, and ends the callers that return.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for conn := range c.open {
		conn.Close()
	}
	c.mu.Unlock()
	c.returning.Wait()
}

func (c *Crowd) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// rest returns what a caller sends behind the head.
func (m Misbehavior) rest() []byte {
	if m.Head == "" {
		return nil
	}
	content := m.Content
	if content == "" {
		content = strings.Repeat("x", m.Body)
	}
	sent := content[:len(content)-m.Withheld]
	var b strings.Builder
	for i := range m.Fields {
		fmt.Fprintf(&b, "%s:\r\n", fieldName(i))
	}
	switch {
	case m.Unfinished:
	case m.Chunk > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		writeChunks(&b, sent, m.Chunk)
		if m.Withheld == 0 {
			b.WriteString("0\r\n\r\n")
		}
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(content), sent)
	}
	return []byte(b.String())
}

// writeChunks writes a body in chunks of a size.
func writeChunks(b *strings.Builder, body string, size int) {
	for len(body) > 0 {
		n := min(len(body), size)
		fmt.Fprintf(b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
}

// fieldName returns the i-th short name of a field.
func fieldName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := "q" // no field of a few letters that net/http knows begins with it
	for ; i > 0; i /= len(letters) {
		name += letters[i%len(letters) : i%len(letters)+1]
	}
	return name
}
