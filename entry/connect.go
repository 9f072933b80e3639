package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/route"
)

// A connection that isn't accepted in time may be waiting on this host's own link. So an endpoint
// counts as unreachable only if it doesn't send its report either, while somebody else answers this
// host. Until then the connection is waited for: nothing has been sent yet.

const (
	// connectTimeout is how long an endpoint that doesn't answer may take to accept a connection.
	connectTimeout = 300 * time.Millisecond
	// connectCheckAfter leaves time for the reports that an endpoint must leave unanswered.
	connectCheckAfter = connectTimeout - maxUnanswered*reportTimeout
	// maxRedials is how often a call is connected anew to an endpoint that answers its report.
	maxRedials = 1
)

// connectError is a connection that an endpoint didn't accept. It implements net.Error: it is a
// time-out unless the endpoint's process has ended.
type connectError struct{ check livenessCheck }

// Error implements the error interface.
func (c *connectError) Error() string { return "the connection was not accepted, " + c.check.String() }

// Timeout implements net.Error.
func (c *connectError) Timeout() bool { return !c.check.gone }

// Temporary implements net.Error.
func (c *connectError) Temporary() bool { return true }

// connectAndCall makes a call to an endpoint through f, which passes on the call that it is given.
// The call fails with a connectError if the endpoint is unreachable.
func connectAndCall[T any](ctx context.Context, e *Entry, j *job, spec *config.Endpoint, call endpoint.Call, f func(endpoint.Call) (T, error)) (T, error) {
	for redials := 0; ; redials++ {
		w := e.watchConnecting(ctx, spec)
		call.Connecting = w.connecting
		answer, err := f(call)
		check, gateway := w.stop()
		if gateway != "" {
			e.logTunnel(j, spec, gateway)
		}
		if call.OnGateway != nil {
			call.OnGateway(gateway)
		}
		switch {
		case check == nil || ctx.Err() != nil:
			return answer, err
		case !check.answered || redials == maxRedials:
			return answer, &endpoint.CallError{Address: spec.Address, Cause: &connectError{*check}}
		}
	}
}

// connectWatch ends an attempt to connect to an endpoint that is unreachable, or that accepts
// other connections.
type connectWatch struct {
	entry      *Entry
	connecting *endpoint.Connecting
	ctx        context.Context // ends with the attempt
	cancel     context.CancelFunc
	timer      *time.Timer

	mu      sync.Mutex
	ended   *livenessCheck // why the attempt was ended; nil: it wasn't
	gateway string         // the host that passes the connection on; empty: none
}

// watchConnecting watches an attempt to connect that begins now.
func (e *Entry) watchConnecting(ctx context.Context, spec *config.Endpoint) *connectWatch {
	w, began, at := &connectWatch{entry: e}, time.Now(), e.crashes.process(spec)
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(connectCheckAfter, func() { w.check(at) })
	w.connecting = endpoint.NewConnecting(func(c endpoint.Connected) {
		w.timer.Stop()
		w.cancel()
		w.setGateway(c.Gateway)
		if c.New {
			e.board.Answers.Record(began)
		}
		if c.New && c.Gateway == "" {
			now := time.Now()
			e.board.Link.Record(now, now.Sub(began))
		}
	})
	return w
}

// check asks the endpoint for its report until that tells whether the connection can still be
// accepted. It ends the attempt if it can't, or if the endpoint accepts other connections.
func (w *connectWatch) check(at process) {
	answers, began := w.entry.board.Answers, time.Now()
	for w.ctx.Err() == nil {
		othersAnswer := answers.AnsweredSince(began) // before the reports that are asked for now
		check := w.entry.checkLiveness(w.ctx, at)
		known := !check.alive || check.answered
		if !known && !othersAnswer && !answers.CutOff(time.Now()) {
			continue
		}
		cause := endpoint.ErrGivenUp
		if check.answered {
			cause = errOtherAccepted
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() == nil && w.connecting.End(cause) {
			w.ended = &check
		}
		return
	}
}

// errOtherAccepted ends an attempt to connect to an endpoint that accepts other connections.
var errOtherAccepted = errors.New("the endpoint accepts other connections")

// setGateway records the host that passes the connection on.
func (w *connectWatch) setGateway(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateway = name
}

// stop ends the watch. It returns why the attempt to connect was ended, or nil if it wasn't, and the
// host that passes the connection on, if any.
func (w *connectWatch) stop() (ended *livenessCheck, gateway string) {
	w.timer.Stop()
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended, w.gateway
}

// maxWitnesses is how many endpoints are asked whether they answer this host.
const maxWitnesses = 2

// askWitnesses asks some endpoints for their report, which shows that they answer this host.
func (e *Entry) askWitnesses() {
	var asked []process
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		for _, s := range fleet.SampleReachable(maxWitnesses, time.Now()) {
			asked = append(asked, processOf(s.Spec))
		}
	})
	for _, at := range asked {
		go e.processEvidence(context.Background(), at, reportTimeout)
	}
}
