package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Client is a client with one kept connection.
type Client struct {
	conn    net.Conn
	patient *patientReader
	r       *bufio.Reader
}

// Dial connects a client to a host.
func Dial(h *Host) (*Client, error) {
	conn, err := net.DialTimeout("tcp", h.Callers(), time.Second)
	if err != nil {
		return nil, err
	}
	r := &patientReader{conn: conn}
	return &Client{conn, r, bufio.NewReader(r)}, nil
}

// patientReader reads from a connection, and gives up when nothing comes for some time.
type patientReader struct {
	conn     net.Conn
	patience time.Duration
}

// Read implements io.Reader.
func (r *patientReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(r.patience))
	return r.conn.Read(p)
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Request is what a client sends.
type Request struct {
	Method, Path, Attempt string
	Deadline              time.Duration
	Headers               map[string]string
	Body                  string
}

// Prompted returns a request for a model runner.
func Prompted(path, attempt string, answerTokens int) Request {
	return Request{Method: http.MethodPost, Path: path, Attempt: attempt, Deadline: 14 * time.Second, Body: strings.Repeat("p", 5000), Headers: map[string]string{
		Word("model"): "m", Word("usage"): fmt.Sprintf("1460,%d", answerTokens), Word("prefix"): "5c1e07a2:200," + attempt + ":1260"}}
}

// Answer is what a client received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err tells how the answer broke off; nil: it is whole.
	Err error
}

// Closes reports whether the host announced that it closes the connection.
func (a *Answer) Closes() bool { return strings.EqualFold(a.Header.Get("Connection"), "close") }

// String implements fmt.Stringer.
func (a *Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	end := "whole"
	if a.Err != nil {
		end = fmt.Sprintf("broken off: %v", a.Err)
	}
	return fmt.Sprintf("%d signed %q, %d bytes, %s", a.Status, a.Header.Get(Word("signature")), len(a.Body), end)
}

// Send writes a request.
func (c *Client) Send(q Request) error { return c.send(q, len(q.Body)) }

// send writes a request that announces a body of some length.
func (c *Client) send(q Request, length int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.Method, q.Path, HostName, Word("attempt"), q.Attempt, Word("deadline"), q.Deadline.Milliseconds())
	names := make([]string, 0, len(q.Headers))
	for k := range q.Headers {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", k, q.Headers[k])
	}
	if length > 0 || q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n" + q.Body)
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// Receive reads the answer to a request. It gives up when nothing comes for some time.
func (c *Client) Receive(method string, patience time.Duration) *Answer {
	c.patient.patience = patience
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return &Answer{Err: err, Header: http.Header{}}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a := &Answer{Status: res.StatusCode, Header: res.Header, Body: string(body), Err: err}
	if res.Close {
		a.Header.Set("Connection", "close")
	}
	return a
}

// Do sends a request and receives its answer.
func (c *Client) Do(q Request) *Answer {
	if err := c.Send(q); err != nil {
		return &Answer{Err: err, Header: http.Header{}}
	}
	return c.Receive(q.Method, q.Deadline+time.Second)
}

// ID returns an id for an attempt, of a client's number and the attempt's number.
func ID(client, attempt int) string { return fmt.Sprintf("9c41%04x%08x", client, attempt+1) }

// ErrNoTraffic is returned by a case in which no request was served.
var ErrNoTraffic = errors.New("no request was served")

// SendSlowly writes a request whose body arrives in pieces.
func (c *Client) SendSlowly(q Request, pieces int, took time.Duration) error {
	whole := q.Body
	for i := range pieces {
		q.Body = whole[len(whole)*i/pieces : len(whole)*(i+1)/pieces]
		var err error
		if i == 0 {
			err = c.send(q, len(whole))
		} else {
			_, err = io.WriteString(c.conn, q.Body)
		}
		if err != nil {
			return err
		}
		if i < pieces-1 {
			time.Sleep(took / time.Duration(pieces-1))
		}
	}
	return nil
}
