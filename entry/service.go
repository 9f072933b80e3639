package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// call is a call to a plain service on its way.
type call struct {
	w      http.ResponseWriter
	method string
	path   string
	header http.Header
	src    []byte
	opened bool // the answer's head was sent
}

// fail tells the caller of a failure; an answer that has begun is cut, so
// that nothing takes it for whole.
func (c *call) fail(err *result.Error) {
	if c.opened {
		panic(http.ErrAbortHandler)
	}
	writeError(c.w, err)
}

// service passes a call on to a plain service.
func (e *Entry) service(w http.ResponseWriter, q *http.Request) {
	v, src, ok := e.receive(w, q)
	if !ok {
		return
	}
	hd, refusal := parseHeaders(v, q.Header)
	if refusal != nil {
		e.refuse(w, q, refusal)
		return
	}
	name := q.PathValue("name")
	hd.labels["team"], hd.labels["service"] = hd.team.Name, name
	r := v.Match(hd.labels, true)
	if r == nil {
		e.refuse(w, q, result.Errorf(result.UnknownService, "no route leads to service %q", name))
		return
	}
	j := &job{headers: hd, id: e.board.NextID(), view: v, route: r, came: time.Now(), teamNum: config.NameNumber(hd.team.Name)}
	j.pick = e.pickRequest(v, r, "", 0, 0)
	c := &call{w: w, method: q.Method, path: "/" + strings.TrimPrefix(q.URL.RequestURI(), "/services/"+name+"/"), header: passedOn(q.Header), src: src}
	j.fail = c.fail
	e.carry(q.Context(), j, xxhash.Sum64(src), func(ctx context.Context) *result.Error { return e.runService(ctx, j, c) })
}

// hopByHop are headers that belong to one connection, and those that are
// meant for embercove itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Authorization", HeaderKey, HeaderKeyAge, HeaderPriority, HeaderDeadline, HeaderRepeatable, HeaderLabels}

func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// runService tries the call where that is allowed. A call that may not be
// repeated goes out once, and again only if nothing can have run.
func (e *Entry) runService(ctx context.Context, j *job, c *call) *result.Error {
	for {
		i, spec := e.chooseService(j)
		if i < 0 {
			return result.Errorf(result.NoEndpoint, "no endpoint of the service is in reach").After(time.Second)
		}
		err := e.callService(ctx, j, i, spec, c)
		if err == nil {
			return nil
		}
		if c.opened {
			return result.Errorf(result.AnswerBroken, "%s broke off its answer", spec.Name)
		}
		if refusal := e.mayRetry(ctx, j, e.failed(i, spec, err)); refusal != nil {
			return refusal
		}
		if !sleep(ctx, backoffStart) {
			return asResult(ctx.Err())
		}
	}
}

// chooseService takes the endpoint with the fewest calls from this host, of
// the own failure domain first.
func (e *Entry) chooseService(j *job) (int, *config.Endpoint) {
	best, least := -1, 0.0
	var spec *config.Endpoint
	j.pick.Now = time.Now()
	e.board.Endpoints.Read(func(v *config.View, states []route.State) {
		r := v.RouteByName(j.route.Name)
		if r == nil {
			return
		}
		for _, i := range r.Service {
			s := &states[i]
			if !route.Open(s, &j.pick) || !j.repeatable && !s.Spec.NotRepeatableAllows {
				continue
			}
			cost := float64(s.Sent)
			if s.Domain != j.pick.Home {
				cost += otherDomainCalls
			}
			if best < 0 || cost < least {
				best, least, spec = i, cost, s.Spec
			}
		}
	})
	return best, spec
}

// otherDomainCalls is how many more calls an endpoint of the own domain may
// have before one of another domain is taken.
const otherDomainCalls = 4

func (e *Entry) callService(ctx context.Context, j *job, i int, spec *config.Endpoint, c *call) error {
	inv := e.board.Invariant
	inv.Check(j.repeatable || !j.started, invariant.SingleRun, "call %s would start twice", j.id)
	inv.Check(!spec.Leaving, invariant.LeavingNoWork, "call %s to leaving %s", j.id, spec.Name)
	a := e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(a)
	e.at(j, blackboard.PhaseService, func(r *blackboard.Request) { r.Decode = spec.Name })
	j.attempts++
	ran, started := j.ran, j.started
	j.ran, j.started = true, true
	e.owners.Touched(i, 1)
	defer e.owners.Touched(i, -1)
	res, err := e.client.Service(ctx, e.call(j, spec, a), c.method, c.path, c.header, c.src)
	if err != nil {
		if !endpoint.MayHaveRun(err) {
			j.ran, j.started = ran, started
			j.attempts--
		}
		return err
	}
	defer res.Body.Close()
	e.budgets.earn(j.team.Name, spec.Name, j.view.Doc.Limits.RetryShare)
	head := c.w.Header()
	for k, vs := range passedOn(res.Header) {
		head[k] = vs
	}
	c.opened = true
	c.w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(c.w, res.Body); err != nil {
		return &endpoint.CallError{Address: spec.Address, MayHaveRun: true, Cause: err}
	}
	return nil
}
