package peer

import (
	"context"
	"slices"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/quota"
)

// In each failure domain one host holds a team's limit. It is chosen by rendezvous hash, like the
// owners of endpoints. Holders report to each other how much they have admitted.

// DrawArgs asks a holder to admit a team's request.
type DrawArgs struct {
	Team  uint32
	Units float64 // negative: a refund for requests that didn't run
}

// DrawReply is the holder's answer.
type DrawReply struct {
	Known  bool // the team exists in the holder's revision
	Answer quota.Answer
}

// teamKeyBase separates the keys of teams from the other numbers that are derived from names.
const teamKeyBase = 0x71756f7461 << 24

// holderGroups is the number of groups that teams are hashed to. One host holds the limits of a
// whole group, so that holders can report many teams in one message.
const holderGroups = 64

// teamKey returns the rendezvous key for a team's holders.
func teamKey(team uint32) uint64 { return teamKeyBase ^ uint64(team%holderGroups) }

// minReachableShare is the share of its failure domain's hosts that a host must reach to hold a
// limit for the domain. Otherwise a host that is cut off from most others would consider itself
// the holder of every team.
const minReachableShare = 0.5

// stableFor is how long the membership of a failure domain must have been unchanged before a new
// holder may assume that nobody held the limit before it: the longest window over which limits
// are enforced, plus time for hosts to notice each other.
const stableFor = 12 * time.Second

// noPeersShare is the share of the fleet that a host assumes to be if it has seeds but hasn't met
// another host yet.
const noPeersShare = 1.0 / 32

// teamOf returns a team with its limit in the current revision.
func (r *Router) teamOf(number uint32) (t quota.Team, known bool) {
	v := r.board.Config.View()
	if v == nil {
		return t, false
	}
	team := v.TeamByNumber[number]
	if team == nil || team.Quota.Rate == 0 {
		return t, false
	}
	return r.quotaTeam(team), true
}

// spareTolerance is the share of the quota tolerance that may be admitted beyond the burst. The
// rest is reserved for holders that don't know of each other.
const spareTolerance = 0.5

func (r *Router) quotaTeam(t *config.Team) quota.Team {
	spare := spareTolerance * r.board.Settings.QuotaTolerance
	return quota.Team{Number: config.NameNumber(t.Name), Limit: quota.Limit{Rate: t.Quota.Rate, Burst: t.Quota.Burst, Spare: spare}}
}

// reach describes what this host can reach as the holder of a team's limit. Failure domains
// without hosts don't count, unless no host of any other domain is known.
func (r *Router) reach(now time.Time, team uint32) quota.Reachability {
	c := r.board.Hosts.Census(now)
	out := quota.Reachability{HostShare: c.LiveShare, Settled: now.Sub(c.Changed) > stableFor && r.isStableHolder(team, now)}
	out.Domains = r.otherDomains(c)
	return out
}

// otherDomains returns the other failure domains that have hosts.
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

// isStableHolder reports whether this host holds a team's limit even with unconfirmed hosts
// counted. A host that stands in for another can't know what that one has admitted.
func (r *Router) isStableHolder(team uint32, now time.Time) bool {
	h, ok := r.board.Hosts.FirstStable(teamKey(team), r.board.Settings.Domain, now)
	return ok && h.Number == r.board.Number
}

// DrawQuota asks for n units of a team's quota for a request. It asks the team's holder, then the host
// that stands in for it, and if both are unreachable it uses this host's own share of the limit.
// Without the second step, all hosts would admit requests by themselves whenever a holder is
// lost, together more than the quota allows.
func (r *Router) DrawQuota(ctx context.Context, t *config.Team, n float64) quota.Answer {
	team, now := r.quotaTeam(t), time.Now()
	c := r.board.Hosts.Census(now)
	if c.LiveShare >= minReachableShare && !r.metNobody(c) {
		for _, h := range r.holders(team.Number, now) {
			if a, ok := r.drawFrom(ctx, h, team, n); ok {
				r.board.Quotas.ObserveAnswer(time.Now(), team.Number, n, a)
				return a
			}
		}
	}
	return r.board.Quotas.AdmitIsolated(time.Now(), team, n, r.evenShare(c))
}

// evenShare returns this host's share of the fleet if all hosts count the same.
func (r *Router) evenShare(c blackboard.Census) float64 {
	if r.metNobody(c) {
		return noPeersShare
	}
	return 1 / float64(c.Hosts)
}

// maxHolders is how many hosts are asked to admit a request. Each failing call takes half of the
// call timeout.
const maxHolders = 2

// holders returns the host that holds a team's limit in the own failure domain and those that
// stand in for it, without unconfirmed hosts.
func (r *Router) holders(team uint32, now time.Time) []blackboard.Host {
	order := r.board.Hosts.Order(teamKey(team), r.board.Settings.Domain, now)
	order = slices.DeleteFunc(order, func(h blackboard.Host) bool { return h.Unconfirmed })
	return order[:min(maxHolders, len(order))]
}

// metNobody reports whether this host has seeds but hasn't met another host yet.
func (r *Router) metNobody(c blackboard.Census) bool {
	if c.Hosts > 1 {
		return false
	}
	for _, a := range r.seedList() {
		if a != r.board.Settings.PeersAddress() {
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
		return r.board.Quotas.Admit(now, t, n, r.reach(now, t.Number)), true
	}
	var reply DrawReply
	err := r.noteOutcome(ctx, h, r.pool.call(ctx, h.Peers, methodDraw, &DrawArgs{Team: t.Number, Units: n}, &reply, r.timeout()/maxHolders))
	return reply.Answer, err == nil && reply.Known
}

// Refund refunds to a team's holder the units of a request that didn't run. It doesn't wait,
// and a refund that is lost stays charged.
func (r *Router) Refund(t *config.Team, n float64) {
	team, now := r.quotaTeam(t), time.Now()
	h, ok := r.board.Hosts.First(teamKey(team.Number), r.board.Settings.Domain, now)
	switch {
	case !ok:
	case h.Number == r.board.Number:
		r.board.Quotas.Refund(now, team, n, r.reach(now, team.Number))
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
		s.r.board.Quotas.Refund(now, t, -a.Units, s.r.reach(now, t.Number))
		return nil
	}
	s.r.board.Quotas.NotePeerRequest(now, t.Number)
	reply.Answer = s.r.board.Quotas.Admit(now, t, a.Units, s.r.reach(now, t.Number))
	return nil
}
