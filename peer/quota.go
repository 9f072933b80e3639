package peer

import (
	"context"
	"slices"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/quota"
)

// A team's limit is held by one host of each failure domain, by rendezvous hash as
// endpoints are owned. Holders tell each other what they have let in.

// DrawArgs asks a holder to let a team's request in.
type DrawArgs struct {
	Team  uint32
	Units float64 // below 0: given back, for requests that didn't run
}

// DrawReply is the holder's answer.
type DrawReply struct {
	Known  bool // the holder's revision has the team
	Answer quota.Answer
}

// holderKey makes the holders of teams other hosts than those of their names' other
// numbers.
const holderKey = 0x71756f7461 << 24

// holderGroups is into how many groups teams fall whose limits one host holds, so that
// what holders tell each other of many teams goes in one message.
const holderGroups = 64

// keyOf returns the key by whose rendezvous hash a team's holders are chosen.
func keyOf(team uint32) uint64 { return holderKey ^ uint64(team%holderGroups) }

// aloneBelow is the part of its failure domain's hosts that a host must have in reach
// to hold a limit for the domain. A host that is cut off from most others would
// otherwise take itself for the holder of each team.
const aloneBelow = 0.5

// settledFor is how long the hosts of a failure domain must have been the same for a
// limit that begins to be held to have been held by nobody before: the longest window in
// which limits are judged, and some time in which hosts notice each other.
const settledFor = 12 * time.Second

// metNobody is the part of the fleet that a host takes itself for that knows of seeds
// and has met no other host yet.
const metNobody = 1.0 / 32

// teamOf returns a team with its limit under the revision in force.
func (r *Router) teamOf(number uint32) (t quota.Team, known bool) {
	v := r.board.Config.View()
	if v == nil {
		return t, false
	}
	team := v.TeamByNumber[number]
	if team == nil || team.Quota.Rate == 0 {
		return t, false
	}
	return r.limited(team), true
}

// spareTolerance is the part of the tolerance that quotas are judged with which is let
// in beyond the burst. The rest is for holders that don't know of each other.
const spareTolerance = 0.5

func (r *Router) limited(t *config.Team) quota.Team {
	spare := spareTolerance * r.board.Settings.QuotaTolerance
	return quota.Team{Number: config.NameNumber(t.Name), Limit: quota.Limit{Rate: t.Quota.Rate, Burst: t.Quota.Burst, Spare: spare}}
}

// reach returns what this host has in reach as the holder of a team's limit. Failure
// domains without any host don't count, unless no host of another one is known at all.
func (r *Router) reach(now time.Time, team uint32) quota.Reach {
	c := r.board.Hosts.Census(now)
	out := quota.Reach{Part: c.Part, Settled: now.Sub(c.Changed) > settledFor && r.firstSteady(team, now)}
	out.Domains = r.otherDomains(c)
	return out
}

// otherDomains returns the failure domains beside the own one that have hosts.
func (r *Router) otherDomains(c blackboard.Census) (names []string) {
	v := r.board.Config.View()
	if v == nil {
		return nil
	}
	for _, d := range v.Doc.Domains {
		if d.Name != r.board.Settings.Domain && (c.Domains[d.Name] || len(c.Domains) == 1) {
			names = append(names, d.Name)
		}
	}
	return names
}

// firstSteady reports whether this host holds a team's limit whatever it doubts. One
// that stands in for another can't know what that one has let in.
func (r *Router) firstSteady(team uint32, now time.Time) bool {
	h, ok := r.board.Hosts.FirstSteady(keyOf(team), r.board.Settings.Domain, now)
	return ok && h.Number == r.board.Number
}

// Draw asks for a team's request of n units to be let in, by the team's holder, the one
// that stands in for it or, if both are out of reach, by this host's own part of the
// limit. Without the second, all hosts let a request in by themselves as a holder is
// lost, and together more than the quota allows.
func (r *Router) Draw(ctx context.Context, t *config.Team, n float64) quota.Answer {
	team, now := r.limited(t), time.Now()
	c := r.board.Hosts.Census(now)
	if c.Part >= aloneBelow && !r.unmet(c) {
		for _, h := range r.holders(team.Number, now) {
			if a, ok := r.drawFrom(ctx, h, team, n); ok {
				r.board.Quotas.Passed(time.Now(), team.Number, n, a)
				return a
			}
		}
	}
	return r.board.Quotas.Alone(time.Now(), team, n, r.evenPart(c))
}

// evenPart returns this host's even part of the fleet.
func (r *Router) evenPart(c blackboard.Census) float64 {
	if r.unmet(c) {
		return metNobody
	}
	return 1 / float64(c.Hosts)
}

// mostHolders is how many hosts are asked to let one request in. An ask that fails takes
// half of the time for a call.
const mostHolders = 2

// holders returns the host that holds a team's limit in the own failure domain and those
// that stand in for it, none of whom is doubted.
func (r *Router) holders(team uint32, now time.Time) []blackboard.Host {
	order := r.board.Hosts.Order(keyOf(team), r.board.Settings.Domain, now)
	order = slices.DeleteFunc(order, func(h blackboard.Host) bool { return h.Doubted })
	return order[:min(mostHolders, len(order))]
}

// unmet reports whether this host has met no other though it should.
func (r *Router) unmet(c blackboard.Census) bool {
	if c.Hosts > 1 {
		return false
	}
	for _, a := range r.seedList() {
		if a != r.board.Settings.PeersAt() {
			return true
		}
	}
	return false
}

// drawFrom asks a holder, which may be this host.
func (r *Router) drawFrom(ctx context.Context, h blackboard.Host, t quota.Team, n float64) (quota.Answer, bool) {
	if h.Number == r.board.Number {
		now := time.Now()
		if r.board.Quotas.CutOff(now, t.Number) {
			return quota.Answer{}, false
		}
		return r.board.Quotas.Ask(now, t, n, r.reach(now, t.Number)), true
	}
	var reply DrawReply
	err := r.fail(ctx, h, r.pool.call(ctx, h.Peers, methodDraw, &DrawArgs{Team: t.Number, Units: n}, &reply, r.timeout()/mostHolders))
	return reply.Answer, err == nil && reply.Known
}

// GiveBack returns to a team's holder what was let in for a request that didn't run. It
// doesn't wait, and what is lost on the way stays charged.
func (r *Router) GiveBack(t *config.Team, n float64) {
	team, now := r.limited(t), time.Now()
	h, ok := r.board.Hosts.First(keyOf(team.Number), r.board.Settings.Domain, now)
	switch {
	case !ok:
	case h.Number == r.board.Number:
		r.board.Quotas.Return(now, team, n, r.reach(now, team.Number))
	default:
		go func() {
			_ = r.pool.call(context.Background(), h.Peers, methodDraw, &DrawArgs{Team: team.Number, Units: -n}, new(DrawReply), r.timeout())
		}()
	}
}

// Draw answers another host of the failure domain.
func (s *server) Draw(a *DrawArgs, reply *DrawReply) error {
	t, known := s.r.teamOf(a.Team)
	if !known {
		return nil
	}
	now := time.Now()
	reply.Known = true
	if a.Units < 0 {
		s.r.board.Quotas.Return(now, t, -a.Units, s.r.reach(now, t.Number))
		return nil
	}
	s.r.board.Quotas.Asked(now, t.Number)
	reply.Answer = s.r.board.Quotas.Ask(now, t, a.Units, s.r.reach(now, t.Number))
	return nil
}
