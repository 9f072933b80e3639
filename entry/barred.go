package entry

import (
	"context"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// A request waits after its endpoints were chosen: for its turn, for its prompt,
// for room. So each endpoint is looked at again just before it is called.

// bars returns why a job may no longer go to an endpoint that was chosen for it, by what
// is in force now. What only tells how well it would be served there doesn't count: it
// was chosen, and its owner gave it room.
func (e *Entry) bars(j *job, spec *config.Endpoint) (b route.Bar) {
	b = route.BarGone
	r := j.pick
	r.Now, r.Exclude = time.Now(), [route.MostExcluded]uint32{}
	e.board.Endpoints.Find(route.Number(spec.Name), func(v *config.View, s *route.State) {
		e.bind(v, j, &r)
		b = route.Barred(s, &r)
	})
	switch b {
	case route.BarGone, route.BarLeaving, route.BarDoubted, route.BarEvacuated, route.BarResting, route.BarHome:
		e.barred.count(b)
		return b
	}
	return route.BarNone
}

// bind sets the regions that a job's request is bound to under a revision. Where its own
// is none of them it may go to the others.
func (e *Entry) bind(v *config.View, j *job, r *route.Request) {
	rv, team := v.RouteByName(j.route.Name), v.Teams[j.team.Name]
	if rv == nil {
		return
	}
	if team == nil {
		team = j.team
	}
	r.Homes, r.Reach = v.Homes(rv.Route, team), 0
	if r.Homes != 0 && !r.Homes.Has(r.Region) {
		r.Reach = r.Homes
	}
}

// barCounts counts, by bar, the requests that none of their endpoints was open to, and
// the calls that weren't made as their endpoint was barred meanwhile.
type barCounts struct {
	mu sync.Mutex
	by map[route.Bar]uint64
}

func (c *barCounts) count(b route.Bar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[route.Bar]uint64{}
	}
	c.by[b]++
}

// Barred returns how often a bar kept a request from its endpoints.
func (e *Entry) Barred(b route.Bar) uint64 {
	e.barred.mu.Lock()
	defer e.barred.mu.Unlock()
	return e.barred.by[b]
}

// errBarred is why a call was not made.
var errBarred = errors.New("the endpoint was barred while the request waited")

// barredSince is the failure of a try whose endpoint was barred before it was called.
func barredSince(spec *config.Endpoint, b route.Bar) *retryable {
	refusal := result.Errorf(codeOf(b), "%s while the request waited: %s", spec.Name, b).After(time.Second)
	return &retryable{name: spec.Name, unsent: b == route.BarResting, bar: b, refusal: refusal}
}

// mayCall returns why a call may not be made after all. It is asked last before each call.
func (e *Entry) mayCall(j *job, spec *config.Endpoint) *retryable {
	b := e.bars(j, spec)
	if b == route.BarNone && !e.board.Endpoints.Admit(route.Number(spec.Name), time.Now()) {
		b = route.BarResting
	}
	if b == route.BarNone {
		return nil
	}
	return barredSince(spec, b)
}

// codeOf returns the code of a refusal by one endpoint over what bars it.
func codeOf(b route.Bar) result.Code {
	switch b {
	case route.BarCold:
		return result.Cold
	case route.BarLimited:
		return result.Limited
	case route.BarTrial:
		return result.UnderTrial
	case route.BarResting:
		return result.Resting
	}
	return result.EndpointRefused
}

// nowhere is the refusal of a job that no endpoint of a list is open to, with what bars
// most of them.
func (e *Entry) nowhere(j *job, what string, list func(g *route.Group) []*route.State) *result.Error {
	blamed := route.BarNone
	var numbers []uint32
	rest, resting := time.Duration(0), false
	j.pick.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if g := j.group(fleet); g != nil {
			e.bind(v, j, &j.pick)
			open := func(s *route.State) bool { return route.Open(s, &j.pick) }
			if l := list(g); !slices.ContainsFunc(l, open) { // else no bar is why
				blamed = route.Blame(l, &j.pick)
				rest, resting = restBack(l, &j.pick)
			}
			for _, s := range list(g) {
				numbers = append(numbers, s.Number)
			}
		}
	})
	e.barred.count(blamed)
	switch blamed {
	case route.BarEvacuated:
		return result.Errorf(result.Evacuated, "no %s is open: %s", what, blamed).After(evacuatedBack)
	case route.BarCold, route.BarLimited:
		return result.Errorf(codeOf(blamed), "no %s is open: %s", what, blamed).After(e.startBack(numbers))
	case route.BarConnections:
		return result.Errorf(result.TooLate, "no %s is open: %s", what, blamed).After(e.usualCall(numbers))
	case route.BarHome:
		return result.Errorf(result.NoHome, "no %s is open: %s", what, blamed).After(time.Second)
	}
	if resting {
		return result.Errorf(result.Resting, "no %s is open: %s", what, route.BarResting).After(rest)
	}
	return result.Errorf(result.NoEndpoint, "no %s that the route allows is in reach", what).After(time.Second)
}

// restBack returns when a caller is to come back for which some endpoints are open but for their
// rest, if there are any: some time after the first rest ends, as one request goes there first.
func restBack(list []*route.State, r *route.Request) (back time.Duration, resting bool) {
	back = time.Duration(math.MaxInt64)
	for _, s := range list {
		if route.Barred(s, r) == route.BarResting {
			probe := time.Duration((callSpread + rand.Float64()) * max(s.Seen.Took, leastProbe) * float64(time.Second))
			back, resting = min(back, max(0, s.Notices.Rest.Sub(r.Now))+probe), true
		}
	}
	return back, resting
}

// leastProbe is the least time, in seconds, that the first request after a rest is taken to need.
const leastProbe = 0.05

// usualCall returns when a caller is to come back whose endpoints all have as many calls as they
// take: after some part of the time of a usual call, by which one of them is over. It is spread,
// as callers are refused together.
func (e *Entry) usualCall(list []uint32) time.Duration {
	took := 0.0
	for _, number := range list {
		e.board.Endpoints.Find(number, func(_ *config.View, s *route.State) { took = max(took, s.Seen.Took) })
	}
	if took == 0 {
		return time.Second
	}
	return time.Duration((callSpread + rand.Float64()) * took * float64(time.Second))
}

// callSpread is the least part of a usual call after which such a caller comes back; the most is
// that and a whole one.
const callSpread = 0.5

// evacuatedBack is when callers are told to come back whose endpoints are all being
// emptied. Nobody says for how long; operators' work takes some seconds at the least.
const evacuatedBack = 2 * time.Second

// moveFrom moves a request from a decode engine that is barred now to another, while the
// result of its prompt is kept. It returns an error if there is none.
func (e *Entry) moveFrom(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer, lapses time.Time, b route.Bar) error {
	if p.kept || kv == nil {
		// The prompt is kept there or would be read there: all is chosen anew.
		e.releaseDecode(j, p, owner.GivenUp)
		return barredSince(p.dec, b)
	}
	e.moveOn(ctx, j, p, owner.GivenUp, true)
	if p.dec == nil && b == route.BarTrial {
		e.lookAgain(ctx, j, p, lapses)
	}
	if p.dec == nil {
		e.drop(j, p, kv)
		if b == route.BarTrial {
			return closedInTurn(j, p)
		}
		if none := e.nowhere(j, "decode endpoint", decodeList); !j.ran && none.Code != result.NoEndpoint {
			return none
		}
		return e.wasted(j, p, errBarred)
	}
	if !wait.For(ctx, min(time.Until(p.start), time.Until(lapses))) && ctx.Err() != nil {
		e.discard(j, p, kv)
		return asResult(ctx.Err())
	}
	return nil
}

// The endpoints of a role of a group.
func prefillList(g *route.Group) []*route.State { return g.Prefill.All() }
func decodeList(g *route.Group) []*route.State  { return g.Decode.All() }

// heardEmptied takes in that an owner refused a job as the failure domain of its endpoint
// is being emptied, of which this host hasn't heard. After two such words nothing more is
// asked there in this try: of a pool of 15 that read and 49 that write, 12 turns or 8 rooms
// refused so used up all asks of a request, though others were open. One word alone may be
// that of an owner that hasn't heard of the end. It returns how many asks the refusal counts
// for: it tells nothing of endpoints elsewhere, but one of a failure domain that the words
// have no place for is to be bounded like any other.
func (j *job) heardEmptied(v *config.View, spec *config.Endpoint) (asks int) {
	i := v.DomainIndex(spec.Domain)
	if i < 0 || i >= bits.UintSize {
		return 1
	}
	domain := uint64(1) << i
	j.pick.Shut |= j.emptied & domain
	j.emptied |= domain
	return 0
}

// lackOf returns the refusal that tells for lack of what a request isn't placed: that of
// an endpoint whose failure domain is being emptied says nothing of the others.
func lackOf(refusal, before *result.Error) *result.Error {
	if refusal.Code == result.Evacuated {
		return before
	}
	return refusal
}
