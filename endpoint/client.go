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

	"github.com/embercove/embercove/internal/strict"
	"github.com/embercove/embercove/meter"
)

// maxProblem bounds the body of a failure, in bytes.
const maxProblem = 4 << 10

// Dial opens a connection to an IP:port; tests replace it with a network of their own.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls endpoints. Its methods are safe for concurrent use.
type Client struct {
	Control meter.Traffic // traffic of polls, lists, aborts and orders

	requestClient *http.Client // requests and answers
	controlClient *http.Client // control calls, on connections of their own
	orderClient   *http.Client // orders
}

// dialTimeout bounds an attempt to connect by DefaultDial.
const dialTimeout = 2 * time.Second

// DefaultDial returns a dial function over TCP.
func DefaultDial() Dial { return ReportLosses((&net.Dialer{Timeout: dialTimeout}).DialContext) }

// NewClient returns a client that connects by dial, and for orders by orderDial. A nil dial uses TCP,
// a nil orderDial is dial.
func NewClient(dial, orderDial Dial) *Client {
	if dial == nil {
		dial = DefaultDial()
	}
	if orderDial == nil {
		orderDial = dial
	}
	c := new(Client)
	c.requestClient = newHTTP(WatchedDial(dial))
	c.controlClient = newHTTP(Dial(meter.Counted(meter.Dial(dial), &c.Control)))
	c.orderClient = newHTTP(Dial(meter.Counted(meter.Dial(orderDial), &c.Control)))
	return c
}

func newHTTP(dial Dial) *http.Client {
	return strict.NewClient(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true, MaxResponseHeaderBytes: MaxHead,
	})
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	c.requestClient.CloseIdleConnections()
	c.controlClient.CloseIdleConnections()
	c.orderClient.CloseIdleConnections()
}

// do sends a request that may change something. It sets neither GetBody nor an idempotency
// header, because net/http would then resend the request by itself on a broken connection.
func (c *Client) do(ctx context.Context, hc *http.Client, method, addr, path string, header http.Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method,
		"http://"+addr+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &CallError{Address: addr, Cause: err}
	}
	// The body is never http.NoBody: net/http resends a GET without a body by itself, and
	// some calls may not be repeated.
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	if header != nil {
		req.Header = header
	}
	res, err := hc.Do(req)
	if err != nil {
		return nil, &CallError{Address: addr, MayHaveRun: sent.Load(), Abandoned: strict.IsMalformed(err), Cause: err}
	}
	return res, nil
}

// parseProblem reads an error response.
func parseProblem(addr string, res *http.Response) error {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxProblem))
	p := Problem{}
	if json.Unmarshal(body, &p) != nil {
		p.Error = string(body)
	}
	p.NotRun = p.NotRun && err == nil
	return &CallError{Address: addr, Status: res.StatusCode, MayHaveRun: !p.NotRun, Cause: errors.New(p.Error)}
}

// setHeaders sets the headers that identify a call to an endpoint, replacing any that the
// caller sent.
func (c *Call) setHeaders(h http.Header) {
	h.Set(HeaderRequestID, c.Attempt)
	h.Del(HeaderTeam)
	if c.Team != "" {
		h.Set(HeaderTeam, c.Team)
	}
	if !c.Repeatable {
		h.Set(HeaderRepeatable, "false")
	}
}

// Call describes one attempt at one endpoint.
type Call struct {
	Address          string
	Name             string // of the intended endpoint; empty: any endpoint with this address
	Attempt          string
	Version          string // requested model version; empty: any
	KeepResultMillis int    // how long the endpoint keeps an exported prefill result
	Team             string // team of the request; empty: none
	Repeatable       bool
	Connecting       *Connecting       // watches its connection; nil: nothing does
	OnGateway        func(host string) // called with the host that passes the connection on, empty if none does; may be nil
	// Called with the notices in the head of the answer, as it arrives; nil: they are
	// ignored.
	OnNotice func(Notice)
}

// notify passes on the notices in the head of an answer.
func (c *Call) notify(res *http.Response) {
	if c.OnNotice != nil {
		c.OnNotice(parseNotice(res))
	}
}

// parseNotice reads the notices in the head of an answer. An endpoint that is leaving says
// so in its report instead.
func parseNotice(res *http.Response) Notice {
	n := Notice{Limit: ParseLimit(res.Header.Values(HeaderLimit)), Authoritative: true}
	n.ParseBackoff(res.StatusCode, res.Header)
	return n
}

// post sends a completion to the endpoint of a call and returns the response. The caller
// closes its body.
func (c *Client) post(ctx context.Context, call Call, comp Completion) (*http.Response, error) {
	body, err := json.Marshal(comp)
	if err != nil {
		return nil, &CallError{Address: call.Address, Cause: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	call.setHeaders(header)
	if call.Version != "" {
		header.Set(HeaderVersion, call.Version)
	}
	res, err := c.do(call.ConnectContext(ctx), c.requestClient, http.MethodPost, call.Address, PathCompletions, header, body)
	if err != nil {
		return nil, err
	}
	call.notify(res)
	if res.StatusCode != http.StatusOK {
		return nil, parseProblem(call.Address, res)
	}
	return res, nil
}

// Traits implements Engine.
func (c *Client) Traits() Traits { return Traits{PrefillRuns: true} }

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
	if err := strict.DecodeObject(res.Body, MaxReply, ans); err != nil {
		return nil, &CallError{Address: call.Address, Status: res.StatusCode, MayHaveRun: true, Cause: err}
	}
	if ans.ID != call.Attempt || ans.Transfer == nil {
		return nil, &CallError{Address: call.Address, Status: res.StatusCode, MayHaveRun: true,
			Cause: errors.Errorf("answer to attempt %q, want one to %q", ans.ID, call.Attempt)}
	}
	return ans, nil
}

// Service implements Engine. An answer with any status counts as having run, unless the
// service vouches otherwise.
func (c *Client) Service(ctx context.Context, call Call, work *Work) (*Answer, error) {
	header := work.Origin.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	call.setHeaders(header)
	res, err := c.do(call.ConnectContext(ctx), c.requestClient, work.Origin.Method, call.Address, work.Origin.URL.RequestURI(), header, work.Origin.Body)
	if err != nil {
		return nil, err
	}
	call.notify(res)
	if res.StatusCode == http.StatusServiceUnavailable {
		return nil, parseProblem(call.Address, res)
	}
	return NewAnswer(res), nil
}

// controlCall gets or posts a small JSON document.
func (c *Client) controlCall(ctx context.Context, hc *http.Client, method, addr, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, path)
		}
	}
	res, err := c.do(ctx, hc, method, addr, path, nil, body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return parseProblem(addr, res)
	}
	defer res.Body.Close()
	if s, is := out.(*State); is {
		s.Notice = parseNotice(res)
	}
	if out == nil {
		return errors.Wrap(strict.Discard(res.Body, MaxReply), path)
	}
	return errors.Wrap(strict.DecodeObject(res.Body, MaxReply, out), path)
}

// State implements Engine.
func (c *Client) State(ctx context.Context, addr string) (*State, error) {
	s := new(State)
	return s, c.controlCall(ctx, c.controlClient, http.MethodGet, addr, PathState, nil, s)
}

// Requests implements Engine.
func (c *Client) Requests(ctx context.Context, addr string) ([]Running, error) {
	var l RunningList
	err := c.controlCall(ctx, c.controlClient, http.MethodGet, addr, PathRequests, nil, &l)
	return l.Requests, err
}

// Discard implements Engine. Engines of embercove's own protocol free a result when its
// attempt is aborted.
func (c *Client) Discard(context.Context, *Transfer) error { return nil }

// Abort implements Engine.
func (c *Client) Abort(ctx context.Context, addr, id string) error {
	return c.controlCall(ctx, c.controlClient, http.MethodPost, addr, PathAbort, Abort{ID: id}, nil)
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (*CacheEvents, error) {
	e := new(CacheEvents)
	return e, c.controlCall(ctx, c.controlClient, http.MethodGet, addr, fmt.Sprintf("%s?after=%d", PathCacheEvents, after), nil, e)
}

// Order implements Engine. An order refused for its fence is a CallError with status 409.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	return c.controlCall(ctx, c.orderClient, http.MethodPost, addr, PathOrders, o, nil)
}
