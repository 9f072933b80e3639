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

// A request that its own region can't serve in time may be redirected to another: as a
// whole, prompt and answer, to one region, once per try. This host calls the endpoints
// there itself, so no host there can redirect the request any further.

// redirect describes where a job runs outside its local region.
type redirect struct {
	region string         // empty: not redirected
	local  config.Regions // the local region
	detour time.Duration
}

// Limits on redirecting one request.
const (
	maxRemoteRegions  = 2 // regions that are tried
	remoteEnqueueAsks = 4 // prefill engines asked there; each ask costs a cross-region round trip
)

// Forecasts are means, so many requests that wait for half of their remaining time finish
// too late. With prefill queues, no time is then left to redirect when decode memory turns
// out to be short; calls of plain services vary in duration by themselves. Requests that
// would wait for more than redirectWaitShare are therefore redirected before their own
// region is asked, if the wait elsewhere, round trips included, is shorter by the factor
// minRemoteSpeedup.
const (
	redirectWaitShare = 0.4 // of the time that is left
	minRemoteSpeedup  = 1.5
)

// maxRemoteWait returns how long a request may wait in another region if it would wait for
// localWait in its own.
func maxRemoteWait(localWait time.Duration) time.Duration {
	return time.Duration(float64(localWait) / minRemoteSpeedup)
}

// Round trips that a redirected request pays for.
const (
	engineRoundTrips  = 6 // prefill slot, decode memory, and a connection and a call at each of two engines
	serviceRoundTrips = 2 // a connection and a call
)

// returnToLocalRegion makes a job look for endpoints in its local region again.
func (e *Entry) returnToLocalRegion(j *job) {
	if !j.redirected() {
		return
	}
	j.criteria.Region = j.redirect.local
	j.redirect = redirect{}
}

// localRegion returns the region of the host that received the job.
func (j *job) localRegion() config.Regions {
	if j.redirected() {
		return j.redirect.local
	}
	return j.criteria.Region
}

// localRegions returns the regions that the job uses without being redirected: its own and,
// if that isn't an allowed region, the allowed ones.
func (j *job) localRegions() config.Regions { return j.localRegion() | j.criteria.RemoteRegions }

// candidate is another region with the data that the redirect decision needs.
type candidate struct {
	name  string
	set   config.Regions
	pool  uint32
	hosts int // live hosts in the region
	region.RemoteRegion
}

// redirectJob chooses a region for a job and makes it look for endpoints there. Regions in
// tried are skipped. It returns false if the job isn't redirected.
func (e *Entry) redirectJob(j *job, n region.Need, trips int, tried config.Regions, list func(g *route.Group) []*route.State) bool {
	found := e.remoteCandidates(j, trips, tried, list)
	if len(found) == 0 {
		return false
	}
	capacities := make([]region.RemoteRegion, len(found))
	for i := range found {
		capacities[i] = found[i].RemoteRegion
	}
	to, verdicts := region.Choose(n, capacities, rand.Float64(), rand.Float64())
	j.regionLog = describeChoice(found, verdicts, to)
	if to < 0 {
		for _, v := range verdicts {
			e.board.Regions.CountNotRedirected(v)
		}
		return false
	}
	e.returnToLocalRegion(j)
	c := &found[to]
	j.redirect = redirect{region: c.name, local: j.criteria.Region, detour: c.Detour}
	e.board.Regions.CountRedirect(config.NameNumber(c.name), c.pool)
	j.criteria.Region = c.set
	return true
}

// singleRegion reports whether there is no other region.
func (e *Entry) singleRegion() bool { return len(e.board.Config.View().RegionNames) < 2 }

// remoteCandidates returns the other regions that a job's request may be sent to, with what
// is known of each.
func (e *Entry) remoteCandidates(j *job, trips int, tried config.Regions, list func(g *route.Group) []*route.State) (found []candidate) {
	if e.singleRegion() {
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
		r := j.criteria
		r.Region, r.Now, r.RemoteRegions = j.localRegion(), now, 0
		e.bindRegions(v, j, &r)
		found = candidates(e.board, v, list(g), r, hosts, trips, tried)
	})
	return found
}

// candidates returns all regions but the request's own and the tried ones, with what is
// known of each.
func candidates(b *blackboard.Board, v *config.View, list []*route.State, r route.Request, hosts map[string]int, trips int, tried config.Regions) (found []candidate) {
	for _, name := range v.RegionNames {
		set := v.RegionSet(name)
		if set == 0 || set.Has(r.Region|tried) {
			continue
		}
		c := candidate{name: name, set: set, hosts: hosts[name]}
		c.observe(b, list, r, trips)
		found = append(found, c)
	}
	countRequesters(found, hosts[b.Settings.Region])
	return found
}

// RegionChoice says whether a request would be redirected to a region, and why.
type RegionChoice struct {
	Region string `json:"region"`
	Why    string `json:"why"`
}

// ExplainRegions says for each other region whether an engine request would be redirected
// to it if its own region refused it now.
func ExplainRegions(b *blackboard.Board, v *config.View, r route.Request, hosts map[string]int) (out []RegionChoice) {
	if len(v.RegionNames) < 2 {
		return nil
	}
	n := region.Need{TimeLeft: time.Duration(targetShare * float64(v.Doc.Targets.TTFT())), Work: engineWork(v, r.Group, r.Tokens, r.Model)}
	for _, c := range candidates(b, v, requiredEngines(r.Group), r, hosts, engineRoundTrips, 0) {
		out = append(out, RegionChoice{c.name, region.Evaluate(n, &c.RemoteRegion, 0).String()})
	}
	return out
}

// observe fills in what is known of a region for a request.
func (c *candidate) observe(b *blackboard.Board, list []*route.State, r route.Request, trips int) {
	r.Region, r.RemoteRegions = c.set, 0
	eligible := 0
	for _, s := range list {
		if s.Region != c.set {
			continue
		}
		if c.pool == 0 {
			c.pool = region.PoolNumber(s.Spec.Pool, s.Spec.Model)
		}
		if route.Eligible(s, &r) {
			eligible++
		}
	}
	number := config.NameNumber(c.name)
	c.RemoteRegion = b.Regions.Find(number, c.pool, r.Now)
	if b.Regions.Avoided(number, r.Now) {
		eligible = 0
	}
	c.EligibleEndpoints, c.Allowed = eligible, r.AllowedRegions == 0 || r.AllowedRegions.Has(c.set)
	c.Detour = time.Duration(trips) * b.Regions.RoundTrip(number)
}

// countRequesters computes for each region how many hosts compete for its capacity: those
// of the own region, and those of other regions that have no capacity themselves.
func countRequesters(regions []candidate, localHosts int) {
	for i := range regions {
		c := &regions[i]
		c.Requesters = localHosts
		for k := range regions {
			if other := &regions[k]; k != i && other.Known && other.Capacity == 0 {
				c.Requesters += other.hosts
			}
		}
	}
}

// describeChoice says for each region why the request is redirected there or not.
func describeChoice(found []candidate, verdicts []region.Verdict, to int) string {
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

// redirected reports whether the job looks for endpoints in a remote region because its own
// has no capacity for it.
func (j *job) redirected() bool { return j.redirect.region != "" }

// remoteNeed returns what an engine request needs in another region, after its own has
// refused it.
func (e *Entry) remoteNeed(j *job, refusal result.Code) region.Need {
	n := region.Need{TimeLeft: j.slack(), NoLocalEndpoint: refusal == result.NoEndpoint || refusal == result.Evacuated}
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if g := j.group(fleet); g != nil {
			n.Work = engineWork(v, g, j.tokens, j.work.Model)
		}
	})
	return n
}

// requiredEngines lists engines of a group of which a request needs at least one.
func requiredEngines(g *route.Group) []*route.State {
	if list := g.Prefill.All(); len(list) > 0 {
		return list
	}
	return g.Decode.All()
}

// engineWork returns how long a group's engines take to prefill a prompt and to transfer
// its KV cache.
func engineWork(v *config.View, g *route.Group, tokens int, model string) (d time.Duration) {
	if list := g.Prefill.All(); len(list) > 0 {
		d += time.Duration(float64(tokens) / list[0].Spec.TokensPerSecond * float64(time.Second))
	}
	if list := g.Decode.All(); len(list) > 0 {
		d += route.LinkTime(list[0].Spec, int64(tokens)*kvBytesPerToken(v, model))
	}
	return d
}
