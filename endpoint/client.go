package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/meter"
)

// Limits of what is read from an endpoint outside of answers.
const (
	maxReport  = 4 << 20
	maxProblem = 4 << 10
)

// Dial opens a connection to an IP:port; tests put a network of their own
// in its place.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls endpoints. Its methods are safe for concurrent use.
type Client struct {
	Control meter.Traffic // polls, lists, aborts and orders

	hc   *http.Client // requests and answers
	ctrl *http.Client // control, on connections of its own
}

// NewClient returns a client. A nil dial uses TCP.
func NewClient(dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	c := new(Client)
	c.hc = newHTTP(dial)
	c.ctrl = newHTTP(Dial(meter.Counted(meter.Dial(dial), &c.Control)))
	return c
}

func newHTTP(dial Dial) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes connections that no call uses.
func (c *Client) CloseIdle() {
	c.hc.CloseIdleConnections()
	c.ctrl.CloseIdleConnections()
}

// do sends a request whose effect matters. The request is given no GetBody
// and no idempotency header, because net/http would then send it again by
// itself on a broken connection.
func (c *Client) do(ctx context.Context, hc *http.Client, method, addr, path string, header http.Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method,
		"http://"+addr+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &CallError{Address: addr, Cause: err}
	}
	// The body is never http.NoBody: net/http sends a GET without a body
	// again by itself, and some calls may not be repeated.
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	if header != nil {
		req.Header = header
	}
	res, err := hc.Do(req)
	if err != nil {
		return nil, &CallError{Address: addr, MayHaveRun: sent.Load(), Cause: err}
	}
	return res, nil
}

// problem reads an error answer.
func problem(addr string, res *http.Response) error {
	defer res.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxProblem))
	p := Problem{}
	if json.Unmarshal(body, &p) != nil {
		p.Error = string(body)
	}
	return &CallError{Address: addr, Status: res.StatusCode, MayHaveRun: !p.NotRun, Cause: errors.New(p.Error)}
}

// setOwn sets the headers by which an endpoint knows a call, whatever the caller had
// set.
func (c *Call) setOwn(h http.Header) {
	h.Set(HeaderRequestID, c.Attempt)
	h.Del(HeaderTeam)
	if c.Team != "" {
		h.Set(HeaderTeam, c.Team)
	}
	if !c.Repeatable {
		h.Set(HeaderRepeatable, "false")
	}
}

// Call names one attempt at one endpoint.
type Call struct {
	Address    string
	Name       string // of the endpoint that is meant; empty: whoever has the address
	Attempt    string
	Version    string // model version asked for; empty: any
	KeepMillis int    // how long the endpoint keeps an exported result
	Team       string // that the request belongs to; empty: none has to answer for it
	Repeatable bool
	// Hear is told what the head of the answer says of the endpoint, as the head arrives; nil:
	// nobody is.
	Hear func(Notice)
}

// hear tells what an answer's head says of the endpoint.
func (c *Call) hear(res *http.Response) {
	if c.Hear != nil {
		c.Hear(noticeOf(res))
	}
}

// noticeOf reads an answer's head. An endpoint that leaves says so in its report.
func noticeOf(res *http.Response) Notice {
	n := Notice{Limit: ReadLimit(res.Header.Values(HeaderLimit)), Certain: true}
	n.ReadRest(res.StatusCode, res.Header)
	return n
}

// post sends a completion to the endpoint of a call and returns its answer, of
// which the caller closes the body.
func (c *Client) post(ctx context.Context, call Call, comp Completion) (*http.Response, error) {
	body, err := json.Marshal(comp)
	if err != nil {
		return nil, &CallError{Address: call.Address, Cause: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	call.setOwn(header)
	if call.Version != "" {
		header.Set(HeaderVersion, call.Version)
	}
	res, err := c.do(ctx, c.hc, http.MethodPost, call.Address, PathCompletions, header, body)
	if err != nil {
		return nil, err
	}
	call.hear(res)
	if res.StatusCode != http.StatusOK {
		return nil, problem(call.Address, res)
	}
	return res, nil
}

// Traits implements Engine.
func (c *Client) Traits() Traits { return Traits{ReadingRuns: true} }

// Prefill implements Engine.
func (c *Client) Prefill(ctx context.Context, call Call, work *Work) (*PrefillAnswer, error) {
	comp := work.Completion
	comp.MaxTokens, comp.Stream = 1, false
	comp.Transfer = &Transfer{RemoteDecode: true}
	res, err := c.post(ctx, call, comp)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	ans := new(PrefillAnswer)
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReport)).Decode(ans); err != nil {
		return nil, &CallError{Address: call.Address, Status: res.StatusCode, MayHaveRun: true, Cause: err}
	}
	if ans.ID != call.Attempt || ans.Transfer == nil {
		return nil, &CallError{Address: call.Address, Status: res.StatusCode, MayHaveRun: true,
			Cause: errors.Errorf("answer of %q for %q", ans.ID, call.Attempt)}
	}
	return ans, nil
}

// Service implements Engine. An answer of any status counts as having run,
// unless the service vouches otherwise.
func (c *Client) Service(ctx context.Context, call Call, work *Work) (*Answer, error) {
	header := work.Origin.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	call.setOwn(header)
	res, err := c.do(ctx, c.hc, work.Origin.Method, call.Address, work.Origin.URL.RequestURI(), header, work.Origin.Body)
	if err != nil {
		return nil, err
	}
	call.hear(res)
	if res.StatusCode == http.StatusServiceUnavailable {
		return nil, problem(call.Address, res)
	}
	return &Answer{AnswerHead: AnswerHead{Status: res.StatusCode, Header: res.Header}, Length: res.ContentLength, Body: res.Body}, nil
}

// report gets or posts a small JSON document.
func (c *Client) report(ctx context.Context, method, addr, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, path)
		}
	}
	res, err := c.do(ctx, c.ctrl, method, addr, path, nil, body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return problem(addr, res)
	}
	defer res.Body.Close()
	if s, is := out.(*State); is {
		s.Notice = noticeOf(res)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxReport))
		return errors.Wrap(err, path)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxReport)).Decode(out), path)
}

// State implements Engine.
func (c *Client) State(ctx context.Context, addr string) (*State, error) {
	s := new(State)
	return s, c.report(ctx, http.MethodGet, addr, PathState, nil, s)
}

// Requests implements Engine.
func (c *Client) Requests(ctx context.Context, addr string) ([]Running, error) {
	var l RunningList
	err := c.report(ctx, http.MethodGet, addr, PathRequests, nil, &l)
	return l.Requests, err
}

// Discard implements Engine. The project's own engines free a result when its
// attempt is aborted.
func (c *Client) Discard(context.Context, *Transfer) error { return nil }

// Abort implements Engine.
func (c *Client) Abort(ctx context.Context, addr, id string) error {
	return c.report(ctx, http.MethodPost, addr, PathAbort, Abort{ID: id}, nil)
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (*CacheEvents, error) {
	e := new(CacheEvents)
	return e, c.report(ctx, http.MethodGet, addr, fmt.Sprintf("%s?after=%d", PathCacheEvents, after), nil, e)
}

// Order implements Engine. A refused fence is a CallError with status 409.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.report(ctx, http.MethodPost, addr, PathOrders, o, nil)
}
