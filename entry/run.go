package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// plan is a pair of endpoints with what owners granted for it.
type plan struct {
	route.Choice
	pre, dec *config.Endpoint
	decodeBy request.Attempt // holds the reservation
	reserved bool
	start    time.Time       // when the transfer may start
	readBy   request.Attempt // the prefill attempt
	cost     int             // tokens that were read
	stalls   int             // transfers to this engine that stalled
	waited   bool            // the decode engine was full when the prompt was read
	lastDec  *config.Endpoint
}

// lastOr returns the decode endpoint that was tried last.
func (p *plan) lastOr(e *config.Endpoint) *config.Endpoint {
	if e == nil {
		return p.lastDec
	}
	return e
}

// maxAsk is how many pairs are asked for one try, before the request is
// refused for lack of room.
const maxAsk = 4

// Backoff between tries that failed at an endpoint.
const (
	backoffStart = 10 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
)

// run carries a completion through, trying again where that is allowed.
func (e *Entry) run(ctx context.Context, j *job) *result.Error {
	backoff := backoffStart
	for {
		j.tries++
		e.board.Invariant.Check(j.tries <= j.view.Doc.Limits.MaxAttempts, invariant.BudgetedRetries, "request %s: try %d", j.id, j.tries)
		err := e.try(ctx, j)
		if err == nil {
			return nil
		}
		var again *retryable
		if !errors.As(err, &again) {
			return asResult(err)
		}
		if refusal := e.mayRetry(ctx, j, again); refusal != nil {
			return refusal
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return again.refusal
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// retryable is a failure after which the request may be tried again
// elsewhere, if it may be repeated or did not run.
type retryable struct {
	at         int // endpoint to leave out, -1: none
	name       string
	mayHaveRun bool
	refusal    *result.Error // what the caller is told when there is no other try
}

// Error implements the error interface.
func (r *retryable) Error() string { return r.refusal.Error() }

// mayRetry returns nil if the job may be tried again, else what to say.
func (e *Entry) mayRetry(ctx context.Context, j *job, r *retryable) *result.Error {
	switch {
	case ctx.Err() != nil:
		return r.refusal
	case r.mayHaveRun && !j.repeatable:
		return result.Errorf(result.OutcomeUnknown, "%s", r.refusal.Detail)
	case j.tries >= j.view.Doc.Limits.MaxAttempts:
		return r.refusal
	case !e.budgets.take(j.team.Name, r.name):
		if j.ran {
			return r.refusal
		}
		return result.Errorf(result.RetryBudget, "the retry budget is spent; %s", r.refusal.Detail).After(time.Second)
	}
	if r.at >= 0 {
		j.pick.Drop(r.at)
	}
	return nil
}

// sleep waits unless the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func asResult(err error) *result.Error {
	var re *result.Error
	if errors.As(err, &re) {
		return re
	}
	return result.Errorf(result.NoEndpoint, "%v", err).After(time.Second)
}

// slack returns the time left to the first token. A resumed answer has its
// first token; it only has to go on soon.
func (j *job) slack() time.Duration {
	if j.out.sent > 0 {
		return resumeSlack
	}
	return time.Until(j.came.Add(time.Duration(aim * float64(j.view.Doc.Targets.TTFT()))))
}

// aim is the share of the target that forecasts are made to meet, so that a
// forecast that is a little off still meets it.
const aim = 0.9

// resumeSlack is what a resumed answer may take to go on.
const resumeSlack = 5 * time.Second

// try is one try at the whole way from reservation to the end of the answer.
func (e *Entry) try(ctx context.Context, j *job) error {
	e.board.Pause.Check()
	if !j.view.Doc.Policy.Mode.Reserves() {
		return e.tryUnreserved(ctx, j)
	}
	p, err := e.place(ctx, j)
	if err != nil {
		return err
	}
	j.phase(0)
	kv, err := e.read(ctx, j, p)
	if err != nil {
		e.letGo(j, p, owner.GivenUp)
		return err
	}
	j.phase(2)
	if !sleep(ctx, min(time.Until(p.start), time.Duration(kv.KeptMillis)*time.Millisecond/2)) {
		e.discard(j, p)
		return asResult(ctx.Err())
	}
	return e.write(ctx, j, p, kv)
}

// phase notes the time at the end of a phase, for the log.
func (j *job) phase(i int) { j.phases[i] = time.Since(j.came) }

// at tells the table of requests how far the job has come.
func (e *Entry) at(j *job, ph blackboard.Phase, f func(r *blackboard.Request)) {
	now := time.Now()
	e.board.Requests.Update(j.id, func(r *blackboard.Request) {
		r.Phase, r.PhaseSince = ph, now
		if f != nil {
			f(r)
		}
	})
}

// choose asks route for a pair; fixed is the index + 1 of a prefill endpoint
// that has called the request, 0 for none.
func (e *Entry) choose(j *job, fixed int) (route.Choice, *config.View) {
	var c route.Choice
	var view *config.View
	j.pick.Now = time.Now()
	j.pick.FixedPrefill = fixed
	e.board.Endpoints.Read(func(v *config.View, states []route.State) {
		view = v
		if r := v.RouteByName(j.route.Name); r != nil {
			j.pick.Route = r
			c = route.Pick(v, states, &j.pick)
		} else {
			c.Prefill = -1
		}
	})
	return c, view
}

// place finds a pair whose owners grant room: the prefill engine's turn, and
// then, before the engine begins, decode memory for the moment it will end.
// Without such memory the turn is given back and the request queues again,
// as long as it can still be in time. Nothing has run when it refuses.
func (e *Entry) place(ctx context.Context, j *job) (*plan, error) {
	asked := j.pick.Exclude // endpoints that have no room now are left out of this try only
	var last *result.Error
	notBefore := time.Now()
	for range maxAsk {
		c, v := e.choose(j, 0)
		if c.Prefill < 0 {
			break
		}
		p := &plan{Choice: c, pre: &v.Doc.Endpoints[c.Prefill], dec: &v.Doc.Endpoints[c.Decode]}
		if last = e.enqueue(ctx, j, p, notBefore); last != nil {
			if ctx.Err() != nil {
				break
			}
			j.pick.Drop(c.Prefill)
			continue
		}
		last = e.reserveAny(ctx, j, p)
		j.pick.Exclude = asked
		if last == nil {
			return p, nil
		}
		e.giveBack(p)
		if ctx.Err() != nil || last.RetryAfter+p.Read+p.Move > j.slack() {
			break
		}
		notBefore = time.Now().Add(last.RetryAfter)
	}
	j.pick.Exclude = asked
	if last == nil {
		last = result.Errorf(result.NoEndpoint, "no endpoint that the route allows is in reach").After(time.Second)
	}
	return nil, last
}

// giveBack returns the turn at a prefill engine that was called.
func (e *Entry) giveBack(p *plan) {
	e.owners.Release(p.pre, owner.Release{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Outcome: owner.GivenUp})
}

// decodeAsks is how many decode engines are asked for a called request.
const decodeAsks = 3

// reserveAny reserves decode memory on the best engine that grants it. The
// refusal it returns has the soonest time at which one would.
func (e *Entry) reserveAny(ctx context.Context, j *job, p *plan) *result.Error {
	e.at(j, blackboard.PhaseReserve, nil)
	var last *result.Error
	for range decodeAsks {
		c, v := e.choose(j, p.Prefill+1)
		if c.Decode < 0 {
			break
		}
		p.Decode, p.dec, p.Move = c.Decode, &v.Doc.Endpoints[c.Decode], c.Move
		refusal := e.reserve(ctx, j, p, p.Read)
		if refusal == nil || ctx.Err() != nil {
			return refusal
		}
		if last == nil || refusal.RetryAfter < last.RetryAfter {
			last = refusal
		}
		j.pick.Drop(c.Decode)
	}
	if last == nil {
		last = result.Errorf(result.NoEndpoint, "no decode endpoint that the route allows is in reach").After(time.Second)
	}
	return last
}

// reserve asks for decode memory at the time the prefill will end.
func (e *Entry) reserve(ctx context.Context, j *job, p *plan, in time.Duration) *result.Error {
	a := owner.ReserveArgs{Attempt: e.board.Requests.Open(j.id), Endpoint: route.Number(p.dec.Name), Tokens: j.tokens,
		MaxAnswer: *j.body.MaxTokens, Bytes: int64(j.tokens) * j.view.Models[j.body.Model].KVBytesPerToken,
		InMillis: ms(in), Slack: max(0, ms(j.slack()-in-p.Move)), Team: j.teamNum, Priority: j.priority}
	p.decodeBy, p.reserved = a.Attempt, false
	now := time.Now()
	reply, err := e.owners.Reserve(ctx, p.dec, a)
	switch {
	case err != nil && ctx.Err() != nil:
		e.letGo(j, p, owner.GivenUp)
		return asResult(ctx.Err())
	case err != nil: // the owner is out of reach: the engine's admission decides
		p.start = now.Add(in)
		return nil
	case reply.Code != result.OK:
		e.board.Requests.Close(a.Attempt)
		return result.Errorf(reply.Code, "no decode memory on %s in time", p.dec.Name).After(time.Duration(reply.Retry) * time.Millisecond)
	}
	p.reserved, p.start = true, now.Add(time.Duration(reply.InMillis)*time.Millisecond)
	return nil
}

// enqueue waits for the prefill engine's turn.
func (e *Entry) enqueue(ctx context.Context, j *job, p *plan, notBefore time.Time) *result.Error {
	e.at(j, blackboard.PhaseQueue, nil)
	p.readBy = e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(p.readBy)
	a := owner.EnqueueArgs{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Tokens: j.tokens, Head: j.pick.Head,
		HasHead: j.pick.HasHead, Slack: ms(j.slack() - p.Move), NotYet: ms(time.Until(notBefore)),
		Team: j.teamNum, Priority: j.priority}
	reply, err := e.owners.Enqueue(ctx, p.pre, a)
	switch {
	case err != nil && errors.Is(err, peer.ErrOutOfReach) && ctx.Err() == nil:
		if p.Wait+p.Read+p.Move > j.slack() {
			return result.Errorf(result.TooLate, "by the last report of %s the prompt would be read too late", p.pre.Name).After(p.Wait + p.Read)
		}
		return nil
	case err != nil:
		return asResult(err)
	case reply.Code != result.OK:
		return result.Errorf(reply.Code, "%s can't read the prompt in time", p.pre.Name).After(time.Duration(reply.Retry) * time.Millisecond)
	}
	return nil
}

func ms(d time.Duration) int { return int(d.Milliseconds()) }

// letGo gives the decode reservation back.
func (e *Entry) letGo(j *job, p *plan, o owner.Outcome) {
	e.owners.Release(p.dec, owner.Release{Attempt: p.decodeBy, Endpoint: route.Number(p.dec.Name), Outcome: o})
	e.board.Requests.Close(p.decodeBy)
}

// read has the prompt read. It marks the job as run unless the endpoint
// vouches that it did nothing.
func (e *Entry) read(ctx context.Context, j *job, p *plan) (*endpoint.Transfer, error) {
	j.phase(1)
	e.board.Invariant.Check(j.repeatable || !j.started, invariant.SingleRun, "request %s would start twice", j.id)
	e.board.Invariant.Check(!p.pre.Leaving, invariant.LeavingNoWork, "request %s to leaving %s", j.id, p.pre.Name)
	if p.readBy.Number == 0 {
		p.readBy = e.board.Requests.Open(j.id)
	}
	e.at(j, blackboard.PhasePrefill, func(r *blackboard.Request) {
		r.Prefill = p.pre.Name
		r.Open = append(r.Open, p.readBy.Number)
	})
	j.prefill = p.pre.Name
	j.attempts++
	ran, started := j.ran, j.started
	j.ran, j.started = true, true
	limited, cancel := context.WithTimeout(ctx, prefillPatience+patienceFactor*p.Read)
	defer cancel()
	began := time.Now()
	e.owners.Touched(p.Prefill, 1)
	ans, err := e.client.Prefill(limited, e.call(j, p.pre, p.readBy), endpoint.Completion{Model: j.body.Model, Prompt: j.body.Prompt, Priority: j.priority})
	e.owners.Touched(p.Prefill, -1)
	e.board.Requests.Close(p.readBy)
	rel := owner.Release{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Millis: ms(time.Since(began))}
	if err == nil {
		rel.Cached = ans.Usage.CachedTokens
		if e.worthTelling(p, rel) {
			e.owners.Release(p.pre, rel)
		}
		j.read += ans.Usage.PromptTokens - ans.Usage.CachedTokens
		p.cost = ans.Usage.PromptTokens - ans.Usage.CachedTokens
		e.budgets.earn(j.team.Name, p.pre.Name, j.view.Doc.Limits.RetryShare)
		return ans.Transfer, nil
	}
	rel.Outcome = outcomeOf(ctx, err)
	e.owners.Release(p.pre, rel)
	if !endpoint.MayHaveRun(err) {
		j.ran, j.started = ran, started
		j.attempts--
	} else {
		e.abort(p.pre, p.readBy)
	}
	return nil, e.failed(p.Prefill, p.pre, err)
}

// tellEvery is how many ordinary ends of a prefill there are for each that is
// told of.
const tellEvery = 4

// worthTelling reports whether a prefill's end is told to its owner. The owner
// knows when to expect it; it is told of the surprising ends, and of some
// others to learn the engine's pace and cache from.
func (e *Entry) worthTelling(p *plan, rel owner.Release) bool {
	took := time.Duration(rel.Millis) * time.Millisecond
	off := (took - p.Read).Abs()
	return off > ordinaryOff+p.Read/4 || e.turn.Load()%tellEvery == 0
}

// ordinaryOff is how far from its forecast an ordinary prefill ends: the
// owner calls some way ahead of the engine.
const ordinaryOff = 80 * time.Millisecond

// Patience with a prefill engine: beyond it the engine counts as stuck.
const (
	prefillPatience = 3 * time.Second
	patienceFactor  = 4
)

func (e *Entry) call(j *job, spec *config.Endpoint, a request.Attempt) endpoint.Call {
	return endpoint.Call{Address: spec.Address, Attempt: a.String(), Version: j.view.WantVersion(spec), Repeatable: j.repeatable}
}

func outcomeOf(ctx context.Context, err error) owner.Outcome {
	switch {
	case err == nil:
		return owner.Done
	case ctx.Err() != nil:
		return owner.Left
	case endpoint.MayHaveRun(err), endpoint.Unreachable(err):
		return owner.Failed
	}
	return owner.Rejected
}

// failed makes a retryable of a call that failed at an endpoint.
func (e *Entry) failed(at int, spec *config.Endpoint, err error) *retryable {
	r := &retryable{at: at, name: spec.Name, mayHaveRun: endpoint.MayHaveRun(err)}
	if r.mayHaveRun {
		r.refusal = result.Errorf(result.AnswerBroken, "%s broke off the request", spec.Name).After(time.Second)
		return r
	}
	r.refusal = result.Errorf(result.EndpointRefused, "%s refused the request", spec.Name).After(time.Second)
	return r
}

// abort gives an attempt up at an endpoint that may hold memory for it. It
// doesn't wait; if it is lost, the endpoint's owner finds the attempt.
func (e *Entry) abort(spec *config.Endpoint, a request.Attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = e.client.Abort(ctx, spec.Address, a.String())
	}()
}

const abortTimeout = time.Second

// discard gives up a result that was read for nothing.
func (e *Entry) discard(j *job, p *plan) {
	j.waste += p.cost
	e.abort(p.pre, p.readBy)
	e.letGo(j, p, owner.GivenUp)
}
