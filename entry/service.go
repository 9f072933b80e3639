package entry

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// service forwards a call to a plain service.
func (e *Entry) service(w http.ResponseWriter, q *http.Request) {
	v, src, ok := e.receiveCall(w, q, apiCaller, func(v *config.View) *result.Error {
		_, _, refusal := serviceRoute(v, q)
		return refusal
	})
	if !ok {
		return
	}
	r, hd, refusal := serviceRoute(v, q)
	if refusal != nil {
		e.refuse(w, q, refusal, apiCaller)
		return
	}
	name := q.PathValue("name")
	path := "/" + strings.TrimPrefix(q.URL.RequestURI(), "/services/"+name+"/")
	target, err := url.ParseRequestURI(path)
	if err != nil {
		e.refuse(w, q, result.Errorf(result.BadHeader, "path %q: %v", path, err), apiCaller)
		return
	}
	j := e.newJob(v, r, hd)
	j.work = &endpoint.Work{Origin: &request.Origin{Method: q.Method, URL: target, Host: q.Host, Header: forwardedHeaders(q.Header), Body: src}}
	j.setFingerprint(q, src)
	j.reply = newPassthroughTo(w, q, writeError)
	e.execute(q.Context(), j, xxhash.Sum64(src), func(ctx context.Context) *result.Error { return e.runService(ctx, j) })
}

// serviceRoute returns the route of a call to a plain service, and its headers.
func serviceRoute(v *config.View, q *http.Request) (*config.RouteView, headers, *result.Error) {
	hd, refusal := parseHeaders(v, q.Header)
	if refusal != nil {
		return nil, hd, refusal
	}
	name := q.PathValue("name")
	hd.labels["team"], hd.labels["service"] = hd.team.Name, name
	r := v.Match(hd.labels, true)
	if r == nil {
		return nil, hd, result.Errorf(result.UnknownService, "no route leads to service %q", name)
	}
	return r, hd, nil
}

// hopByHop are headers that belong to a single connection, and those that are for embercove
// itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Authorization", HeaderTeam, HeaderKey, HeaderKeyAge, HeaderPriority, HeaderDeadline, HeaderRepeatable, HeaderLabels}

func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// runService tries the call, with retries where these are allowed. A call that may not be
// repeated is sent once, and again only if it can't have run.
func (e *Entry) runService(ctx context.Context, j *job) *result.Error {
	e.retryBudgets.CountRequest(j.pool, j.arrived)
	for {
		if refusal := e.acquireProbe(ctx, j); refusal != nil {
			return refusal
		}
		j.tries++
		spec := e.chooseService(j)
		if spec == nil {
			if j.lastFailure != nil {
				return result.Errorf(result.AnswerBroken, "the service failed, and no other endpoint of it is reachable")
			}
			return e.noneEligible(j, "endpoint of the service", serviceStates)
		}
		elsewhere, refusal := e.acquireProbeAt(ctx, j, spec, quarantine.Running)
		if refusal != nil {
			return refusal
		}
		failed := ineligibleFailure(spec, route.ReasonProbe)
		if !elsewhere {
			failed = e.acquirePermit(ctx, j, spec)
		}
		if failed == nil {
			err := e.callService(ctx, j, spec)
			if err == nil {
				return nil
			}
			if j.reply.complete() {
				return result.Errorf(result.AnswerBroken, "%s broke off its answer", spec.Name)
			}
			failed = e.callFailure(spec, err)
		}
		j.uncount(failed)
		if refusal := e.checkRetry(ctx, j, failed); refusal != nil {
			return refusal
		}
		if failed.notSent {
			continue
		}
		if !wait.For(ctx, backoffStart) {
			return asResult(ctx.Err())
		}
	}
}

// chooseService selects an endpoint of the local region. It selects one of another region
// if by forecast the call meets its target there and not locally, or if the local region
// has no endpoint for it.
func (e *Entry) chooseService(j *job) *config.Endpoint {
	e.returnToLocalRegion(j)
	spec, localTime := e.bestService(j)
	n, stays := j.serviceRemoteNeed(spec, localTime, spec == nil && e.noLocalEndpoint(j))
	if stays || !e.redirectJob(j, n, serviceRoundTrips, j.localRegions(), serviceStates) {
		return spec
	}
	if remote, _ := e.bestService(j); remote != nil {
		return remote
	}
	e.returnToLocalRegion(j)
	return spec
}

func serviceStates(g *route.Group) []*route.State { return g.Service.All() }

// remoteTimeShare is the share of the time left within which a call must on average be
// answered in another region, so that most are in time. With all of the time left, when all
// regions have a burst, calls that would be refused at once run there and finish late.
const remoteTimeShare = 0.6

// serviceRemoteNeed returns what a call needs in another region if it takes localTime
// at the best local endpoint, and whether it stays in any case. A call whose region has no
// endpoint for it is redirected even if it may be late.
func (j *job) serviceRemoteNeed(spec *config.Endpoint, localTime time.Duration, noEndpoint bool) (n region.Need, stays bool) {
	left := time.Until(j.arrived.Add(time.Duration(targetShare * float64(j.target()))))
	n.TimeLeft = time.Duration(remoteTimeShare * float64(left))
	switch {
	case noEndpoint:
		n.NoLocalEndpoint = true
		if j.deadline > 0 {
			n.TimeLeft = time.Until(j.arrived.Add(j.deadline))
		}
	case spec != nil && float64(localTime) <= redirectWaitShare*float64(left):
		return n, true
	case spec != nil:
		n.TimeLeft = min(n.TimeLeft, maxRemoteWait(localTime))
	}
	return n, false
}

// noLocalEndpoint reports whether no endpoint of a call's own region is open to it,
// ignoring that some have refused it.
func (e *Entry) noLocalEndpoint(j *job) bool {
	none := true
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil {
			return
		}
		r := j.criteria
		r.Exclude = [route.MaxExcluded]uint32{}
		e.bindRegions(v, j, &r)
		for _, s := range g.Service.All() {
			none = none && !route.Eligible(s, &r)
		}
	})
	return none
}

// callService makes one call and forwards its answer. A failure answer to a call that may
// be repeated is kept, in case no other try does better.
func (e *Entry) callService(ctx context.Context, j *job, spec *config.Endpoint) (err error) {
	inv := e.board.Invariant
	inv.Check(j.repeatable || !j.started, invariant.NotRepeatableOnce, "call %s would start twice", j.id)
	inv.Check(!spec.Leaving, invariant.LeavingNoNewWork, "call %s to leaving %s", j.id, spec.Name)
	a := e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(a)
	e.setPhase(j, blackboard.PhaseService, func(r *blackboard.Request) { r.Decode = spec.Name })
	j.decodeName = spec.Name
	undo := j.markRun(true)
	j.decodeCalls++
	number := route.Number(spec.Name)
	e.owners.AddCalls(number, 1)
	defer e.owners.AddCalls(number, -1)
	began := time.Now()
	r := e.beginRun(j, spec, quarantine.Running)
	defer func() {
		e.recordCall(ctx, j, spec, blackboard.PhaseService, err, time.Since(began))
		e.endRun(ctx, j, r, 0, err)
	}()
	ans, err := connectAndCall(ctx, e, j, spec, e.newCall(j, spec, a), func(call endpoint.Call) (*endpoint.Answer, error) {
		return e.engine.Service(ctx, call, j.work)
	})
	if err != nil {
		if endpoint.Unreachable(err) {
			j.decodeCalls--
		}
		if !endpoint.MayHaveRun(err) {
			undo()
		}
		return err
	}
	ans.Streams = j.route.Streams || isEventStream(ans)
	buffered, err := bufferBody(ans)
	intake.ConnOf(ctx).Hold(buffered)
	if err != nil {
		ans.Body.Close()
		return &endpoint.CallError{Address: spec.Address, Status: ans.Status, MayHaveRun: true, Cause: err}
	}
	failure := &endpoint.CallError{Address: spec.Address, Status: ans.Status, MayHaveRun: true, Answer: ans}
	if ans.Status >= http.StatusInternalServerError && j.repeatable && j.attempts < j.maxAttempts() {
		j.keepFailure(failure)
		return failure
	}
	defer ans.Body.Close()
	if j.mayBeTakenUp() {
		e.bindAnswer(ctx, j, spec)
	}
	e.retryBudgets.Earn(j.team.Name, spec.Name, j.view.Doc.Limits.RetryShare)
	if err := j.reply.sendWhole(ans); err != nil {
		return &endpoint.CallError{Address: spec.Address, MayHaveRun: true, Cause: err}
	}
	return nil
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// copyBody writes a body to a caller.
func copyBody(w io.Writer, body io.Reader) error {
	_, err := io.Copy(w, body)
	return err
}
