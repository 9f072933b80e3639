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
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// service passes a call on to a plain service.
func (e *Entry) service(w http.ResponseWriter, q *http.Request) {
	v, src, ok := e.receive(w, q, apiCaller)
	if !ok {
		return
	}
	hd, refusal := parseHeaders(v, q.Header)
	if refusal != nil {
		e.refuse(w, q, refusal, apiCaller)
		return
	}
	name := q.PathValue("name")
	hd.labels["team"], hd.labels["service"] = hd.team.Name, name
	r := v.Match(hd.labels, true)
	if r == nil {
		e.refuse(w, q, result.Errorf(result.UnknownService, "no route leads to service %q", name), apiCaller)
		return
	}
	path := "/" + strings.TrimPrefix(q.URL.RequestURI(), "/services/"+name+"/")
	target, err := url.ParseRequestURI(path)
	if err != nil {
		e.refuse(w, q, result.Errorf(result.BadHeader, "path %q: %v", path, err), apiCaller)
		return
	}
	j := e.newJob(v, r, hd)
	j.work = &endpoint.Work{Origin: &request.Origin{Method: q.Method, URL: target, Host: q.Host, Header: passedOn(q.Header), Body: src}}
	j.identify(q, src)
	j.out = newPassage(w, writeError)
	e.carry(q.Context(), j, xxhash.Sum64(src), func(ctx context.Context) *result.Error { return e.runService(ctx, j) })
}

// hopByHop are headers that belong to one connection, and those that are
// meant for embercove itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Authorization", HeaderTeam, HeaderKey, HeaderKeyAge, HeaderPriority, HeaderDeadline, HeaderRepeatable, HeaderLabels}

func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// runService tries the call where that is allowed. A call that may not be
// repeated goes out once, and again only if nothing can have run.
func (e *Entry) runService(ctx context.Context, j *job) *result.Error {
	e.budgets.Count(j.pool, j.came)
	for {
		if refusal := e.mayRun(ctx, j); refusal != nil {
			return refusal
		}
		j.tries++
		spec := e.chooseService(j)
		if spec == nil {
			if j.last != nil {
				return result.Errorf(result.AnswerBroken, "the service failed, and no other endpoint of it is in reach")
			}
			return e.nowhere(j, "endpoint of the service", services)
		}
		elsewhere, refusal := e.mayRunAt(ctx, j, spec, quarantine.Running)
		if refusal != nil {
			return refusal
		}
		failed := barredSince(spec, route.BarTrial)
		if !elsewhere {
			failed = e.start(ctx, j, spec)
		}
		if failed == nil {
			err := e.callService(ctx, j, spec)
			if err == nil {
				return nil
			}
			if j.out.complete() {
				return result.Errorf(result.AnswerBroken, "%s broke off its answer", spec.Name)
			}
			failed = e.failed(spec, err)
		}
		j.uncount(failed)
		if refusal := e.mayRetry(ctx, j, failed); refusal != nil {
			return refusal
		}
		if failed.unsent {
			continue
		}
		if !wait.For(ctx, backoffStart) {
			return asResult(ctx.Err())
		}
	}
}

// chooseService takes an endpoint of the own region, unless by forecast the call is in
// time in another region and not in its own, or its own has no endpoint for it.
func (e *Entry) chooseService(j *job) *config.Endpoint {
	e.goHome(j)
	spec, here := e.bestService(j)
	n, stays := j.callNeeds(spec, here, spec == nil && e.homeless(j))
	if stays || !e.leave(j, n, serviceTrips, j.reach(), services) {
		return spec
	}
	if there, _ := e.bestService(j); there != nil {
		return there
	}
	e.goHome(j)
	return spec
}

func services(g *route.Group) []*route.State { return g.Service.All() }

// surePart is the part of the time left in which a call has to be answered elsewhere on
// average, so that most are in time. With all of it calls that would be refused at once run
// late in another region where all regions have a burst.
const surePart = 0.6

// callNeeds returns what a call needs outside of its region, where it takes so long at an
// endpoint of its own, and whether it stays in any case. One whose region has no endpoint
// for it leaves though it may be late.
func (j *job) callNeeds(spec *config.Endpoint, here time.Duration, homeless bool) (n region.Need, stays bool) {
	left := time.Until(j.came.Add(time.Duration(aim * float64(j.target()))))
	n.Left = time.Duration(surePart * float64(left))
	switch {
	case homeless:
		n.Homeless = true
		if j.deadline > 0 {
			n.Left = time.Until(j.came.Add(j.deadline))
		}
	case spec != nil && float64(here) <= leavePart*float64(left):
		return n, true
	case spec != nil:
		n.Left = min(n.Left, faster(here))
	}
	return n, false
}

// homeless reports whether no endpoint of a call's own region is open to it, those that
// have refused it not counted out.
func (e *Entry) homeless(j *job) bool {
	none := true
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil {
			return
		}
		r := j.pick
		r.Exclude = [route.MostExcluded]uint32{}
		e.bind(v, j, &r)
		for _, s := range g.Service.All() {
			none = none && !route.Open(s, &r)
		}
	})
	return none
}

// callService makes one call and passes its answer on. A failure of a call
// that may be repeated is kept, in case no other try does better.
func (e *Entry) callService(ctx context.Context, j *job, spec *config.Endpoint) (err error) {
	inv := e.board.Invariant
	inv.Check(j.repeatable || !j.started, invariant.SingleRun, "call %s would start twice", j.id)
	inv.Check(!spec.Leaving, invariant.LeavingNoWork, "call %s to leaving %s", j.id, spec.Name)
	a := e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(a)
	e.setPhase(j, blackboard.PhaseService, func(r *blackboard.Request) { r.Decode = spec.Name })
	j.decode = spec.Name
	undo := j.mayRun(true)
	j.sends++
	number := route.Number(spec.Name)
	e.owners.Touched(number, 1)
	defer e.owners.Touched(number, -1)
	began := time.Now()
	r := e.beginRun(j, spec, quarantine.Running)
	defer func() {
		e.note(ctx, j, spec, blackboard.PhaseService, err, time.Since(began))
		e.endRun(ctx, j, r, 0, err)
	}()
	ans, err := e.engine.Service(ctx, e.call(j, spec, a), j.work)
	if err != nil {
		if endpoint.Unreachable(err) {
			j.sends--
		}
		if !endpoint.MayHaveRun(err) {
			undo()
		}
		return err
	}
	if err := buffer(ans); err != nil {
		ans.Body.Close()
		return &endpoint.CallError{Address: spec.Address, Status: ans.Status, MayHaveRun: true, Cause: err}
	}
	failure := &endpoint.CallError{Address: spec.Address, Status: ans.Status, MayHaveRun: true, Answer: ans}
	if ans.Status >= http.StatusInternalServerError && j.repeatable && j.attempts < j.mostAttempts() {
		j.keep(failure)
		return failure
	}
	defer ans.Body.Close()
	e.budgets.Earn(j.team.Name, spec.Name, j.view.Doc.Limits.RetryShare)
	if err := j.out.whole(ans); err != nil {
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
