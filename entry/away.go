package entry

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// A request that its own region can't serve in time may leave for another: the whole of
// it, prompt and answer, to one region, once for each try. This host talks to the endpoints
// there itself, so nobody can send it on.

// away is where a request is outside of its region.
type away struct {
	region string         // empty: at home
	home   config.Regions // where it came from
	detour time.Duration
}

// How far a request is carried round in regions.
const (
	mostAway = 2 // regions that are tried
	awayAsks = 4 // prefill engines that are asked there, each for a message there and back
)

// Forecasts are means, so of the requests that wait for half of the time they have left many
// come too late: for readers, and then there is no time to leave for want of memory; calls of
// plain services vary in themselves. They leave before their own region is asked if
// elsewhere, the way included, they wait so much less.
const (
	leavePart = 0.4 // of the time that is left
	fasterBy  = 1.5
)

// faster returns how long a request may wait elsewhere that waits so long at home.
func faster(here time.Duration) time.Duration { return time.Duration(float64(here) / fasterBy) }

// Messages there and back that a request pays for outside of its region.
const (
	engineTrips  = 6 // turn, room, and a connection and a call at each of two engines
	serviceTrips = 2 // a connection and a call
)

// goHome has a job look for endpoints in its own region.
func (e *Entry) goHome(j *job) {
	if !j.abroad() {
		return
	}
	j.pick.Region = j.away.home
	j.away = away{}
}

// home returns the region of the host to which the job came.
func (j *job) home() config.Regions {
	if j.abroad() {
		return j.away.home
	}
	return j.pick.Region
}

// reach returns the regions that the job goes to without leaving: its own, and where that
// is none of its homes, those.
func (j *job) reach() config.Regions { return j.home() | j.pick.Reach }

// candidate is another region with what the decision is made of.
type candidate struct {
	name  string
	set   config.Regions
	pool  uint32
	hosts int // of it
	region.There
}

// leave chooses the region that a job leaves for and has it look for endpoints there. The
// regions in tried are out of the question. It returns false if the job stays.
func (e *Entry) leave(j *job, n region.Need, trips int, tried config.Regions, list func(g *route.Group) []*route.State) bool {
	found := e.elsewhere(j, trips, tried, list)
	if len(found) == 0 {
		return false
	}
	theres := make([]region.There, len(found))
	for i := range found {
		theres[i] = found[i].There
	}
	to, verdicts := region.Choose(n, theres, rand.Float64(), rand.Float64())
	j.regions = describe(found, verdicts, to)
	if to < 0 {
		for _, v := range verdicts {
			e.board.Regions.Keep(v)
		}
		return false
	}
	e.goHome(j)
	c := &found[to]
	j.away = away{region: c.name, home: j.pick.Region, detour: c.Detour}
	e.board.Regions.Leave(config.NameNumber(c.name), c.pool)
	j.pick.Region = c.set
	return true
}

// alone reports whether there is no other region.
func (e *Entry) alone() bool { return len(e.board.Config.View().RegionNames) < 2 }

// elsewhere returns the other regions that a job's request may be sent to at all, with
// what is known of them.
func (e *Entry) elsewhere(j *job, trips int, tried config.Regions, list func(g *route.Group) []*route.State) (out []candidate) {
	if e.alone() {
		return nil
	}
	now := time.Now()
	hosts := e.board.Hosts.Regions(now)
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil || len(v.RegionNames) < 2 {
			return
		}
		r := j.pick
		r.Region, r.Now, r.Reach = j.home(), now, 0
		e.bind(v, j, &r)
		out = candidates(e.board, v, list(g), r, hosts, trips, tried)
	})
	return out
}

// candidates returns the regions but the request's own and those that were tried, with what
// is known of each.
func candidates(b *blackboard.Board, v *config.View, list []*route.State, r route.Request, hosts map[string]int, trips int, tried config.Regions) (out []candidate) {
	for _, name := range v.RegionNames {
		set := v.RegionSet(name)
		if set == 0 || set.Has(r.Region|tried) {
			continue
		}
		c := candidate{name: name, set: set, hosts: hosts[name]}
		c.look(b, list, r, trips)
		out = append(out, c)
	}
	askersOf(out, hosts[b.Settings.Region])
	return out
}

// RegionChoice says whether a request would leave for a region.
type RegionChoice struct {
	Region string `json:"region"`
	Why    string `json:"why"`
}

// ExplainRegions says for each other region whether a request for engines would leave for
// it, if its own refused it now.
func ExplainRegions(b *blackboard.Board, v *config.View, r route.Request, hosts map[string]int) (out []RegionChoice) {
	if len(v.RegionNames) < 2 {
		return nil
	}
	n := region.Need{Left: time.Duration(aim * float64(v.Doc.Targets.TTFT())), Work: workOf(v, r.Group, r.Tokens, r.Model)}
	for _, c := range candidates(b, v, engines(r.Group), r, hosts, engineTrips, 0) {
		out = append(out, RegionChoice{c.name, region.Judge(n, &c.There, 0).String()})
	}
	return out
}

// look fills in what is known of a region for a request.
func (c *candidate) look(b *blackboard.Board, list []*route.State, r route.Request, trips int) {
	r.Region, r.Reach = c.set, 0
	open := 0
	for _, s := range list {
		if s.Region != c.set {
			continue
		}
		if c.pool == 0 {
			c.pool = region.PoolNumber(s.Spec.Pool, s.Spec.Model)
		}
		if route.Open(s, &r) {
			open++
		}
	}
	number := config.NameNumber(c.name)
	c.There = b.Regions.Find(number, c.pool, r.Now)
	if b.Regions.Quiet(number, r.Now) {
		open = 0
	}
	c.Open, c.Allowed = open, r.Homes == 0 || r.Homes.Has(c.set)
	c.Detour = time.Duration(trips) * b.Regions.Trip(number)
}

// askersOf works out for each region how many hosts want what it offers: those of the own
// region, and of others that offer nothing themselves.
func askersOf(found []candidate, own int) {
	for i := range found {
		c := &found[i]
		c.Askers = own
		for k := range found {
			if other := &found[k]; k != i && other.Known && other.Places == 0 {
				c.Askers += other.hosts
			}
		}
	}
}

// describe says of each region why the request goes there, or not.
func describe(found []candidate, verdicts []region.Verdict, to int) string {
	var b strings.Builder
	for i, c := range found {
		if i > 0 {
			b.WriteString("; ")
		}
		if i == to {
			b.WriteString("left for ")
		}
		b.WriteString(c.name + ": " + verdicts[i].String())
	}
	return b.String()
}

// abroad reports whether the job looks for endpoints outside of its region because that has
// no place for it.
func (j *job) abroad() bool { return j.away.region != "" }

// needs returns what a request to engines needs outside of its region, after its own has
// refused it.
func (e *Entry) needs(j *job, refusal result.Code) region.Need {
	n := region.Need{Left: j.slack(), Homeless: refusal == result.NoEndpoint || refusal == result.Evacuated}
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if g := j.group(fleet); g != nil {
			n.Work = workOf(v, g, j.tokens, j.work.Model)
		}
	})
	return n
}

// engines lists a group's engines of which a request needs one at the least.
func engines(g *route.Group) []*route.State {
	if list := g.Prefill.All(); len(list) > 0 {
		return list
	}
	return g.Decode.All()
}

// workOf returns how long a group's engines take to read a prompt and to move it.
func workOf(v *config.View, g *route.Group, tokens int, model string) (d time.Duration) {
	if list := g.Prefill.All(); len(list) > 0 {
		d += time.Duration(float64(tokens) / list[0].Spec.TokensPerSecond * float64(time.Second))
	}
	if list := g.Decode.All(); len(list) > 0 {
		d += route.LinkTime(list[0].Spec, int64(tokens)*kvBytes(v, model))
	}
	return d
}
