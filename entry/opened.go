package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
)

// openedCall is a decode call that its engine has accepted.
type openedCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	run    engineRun
	began  time.Time
	stream endpoint.Stream
	// tunneled tells that another host passes the connection on: a close reaches the engine only if that host goes on.
	tunneled atomic.Bool
}

// openCall makes a decode call. If it fails, its end is recorded.
func (e *Entry) openCall(ctx context.Context, j *job, spec *config.Endpoint, attempt request.Attempt, work *endpoint.Work) (*openedCall, error) {
	c := &openedCall{began: time.Now(), run: e.beginRun(j, spec, quarantine.Running)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	var err error
	c.stream, err = e.callDecode(c.ctx, j, spec, c, e.newCall(j, spec, attempt), work)
	if err != nil {
		c.cancel()
		e.endCall(ctx, j, spec, c, 0, err)
		return nil, err
	}
	return c, nil
}

// callDecode makes a decode call, up to the beginning of its answer.
func (e *Entry) callDecode(ctx context.Context, j *job, spec *config.Endpoint, c *openedCall, call endpoint.Call, work *endpoint.Work) (endpoint.Stream, error) {
	call.OnGateway = func(host string) { c.tunneled.Store(host != "") }
	s, err := connectAndCall(ctx, e, j, spec, call, func(call endpoint.Call) (endpoint.Stream, error) {
		return e.engine.Decode(ctx, call, work)
	})
	return s, holdFailure(ctx, err)
}

// endCall records how a decode call ended, after a number of chunks.
func (e *Entry) endCall(ctx context.Context, j *job, spec *config.Endpoint, c *openedCall, chunks int, err error) {
	e.recordCall(ctx, j, spec, blackboard.PhaseDecode, err, time.Since(c.began))
	e.endRun(ctx, j, c.run, chunks, err)
}

// abandon ends a call whose answer isn't relayed.
func (c *openedCall) abandon() {
	c.cancel()
	c.stream.Close()
}

// decodeWork returns the work of a decode call for a caller who has a number of chunks, the last
// one with an event id.
func decodeWork(j *job, kv *endpoint.Transfer, chunks int, lastEventID string) *endpoint.Work {
	work := *j.work
	work.ResumeFrom, work.Transfer = chunks, kv
	if lastEventID != "" {
		work.LastEventID = lastEventID
	}
	return &work
}

// replicaWork returns the work of a call that resumes an answer from its replica.
func replicaWork(j *job, spec *config.Endpoint, chunks int, lastEventID string) *endpoint.Work {
	work := decodeWork(j, nil, chunks, lastEventID)
	work.Replica = &endpoint.Replica{Address: spec.Address, Handle: work.Origin.ID}
	return work
}

// runsOn reports whether the engine would go on with a silent call that is canceled: it is alive, and the silent one may be the
// host that passes on the connection, and so its close.
func (c *openedCall) runsOn(w *watchdog) bool { return c.tunneled.Load() && w.lastCheck().alive }
