package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// This file spreads the rate limits that endpoints name in their answers. When an answer shows
// that an endpoint begins to name a limit, or no longer names one, the host informs all live hosts
// at once, so that they begin or stop acquiring start permits. A changed value goes only to the
// endpoint's owner, whom the others ask for permits. Permit requests carry the caller's view of
// the limit and bring back the owner's, so a host that missed an announcement gets the limit with
// its first permit.

// LimitArgs reports an endpoint's limit.
type LimitArgs struct {
	Endpoint uint32
	Limit    pace.WireReport
	Onward   []uint32 // hosts to which the receiver forwards the report
}

// ReceiveLimit records the limit that an endpoint's answer to this host named.
func (r *Router) ReceiveLimit(spec *config.Endpoint, w pace.Report) {
	switch r.applyLimit(spec.Name, w, "its answer") {
	case pace.ChangeBegan, pace.ChangeEnded:
		r.announceLimit(spec)
	case pace.ChangeValue:
		r.reportToOwner(spec)
	case pace.ChangeNone:
		r.repeatLimit(spec)
	}
}

// limitRepeatAfter is how long after the last announcement of a change it is repeated, with the
// then current values.
const limitRepeatAfter = 100 * time.Millisecond

// repeatLimit announces a recent change again when a later answer arrives. An announcement that a
// limit has ended is dated to when its call was sent. Hosts that observed the limit slightly
// later ignore it, and hosts that already consider the limit ended see no change to announce.
// Announcements may also be lost.
func (r *Router) repeatLimit(spec *config.Endpoint) {
	due := false
	r.board.Endpoints.Find(config.NameNumber(spec.Name), func(_ *config.View, s *route.State) {
		now := clock.Now()
		due = s.Limit.RecentlyChanged(now) && now.Sub(s.LimitAnnouncedAt) >= limitRepeatAfter
	})
	if due {
		r.announceLimit(spec)
	}
}

// ReceivePeerLimit implements owner.Peers.
func (r *Router) ReceivePeerLimit(spec *config.Endpoint, t pace.WireReport) {
	if t.Heard {
		r.applyLimit(spec.Name, t.Report(clock.Now()), "another host")
	}
}

// applyLimit records a report of an endpoint's limit and logs what changed.
func (r *Router) applyLimit(endpoint string, w pace.Report, from string) pace.Change {
	c := r.board.Endpoints.ObserveLimit(config.NameNumber(endpoint), clock.Now(), w)
	if c != pace.ChangeNone {
		r.log.Info(c.String(), zap.String("endpoint", endpoint), zap.Float64("per_s", w.PerSecond), zap.String("from", from))
	}
	return c
}

// announceLimit sends this host's view of an endpoint's limit to all live hosts.
func (r *Router) announceLimit(spec *config.Endpoint) {
	args := LimitArgs{Endpoint: config.NameNumber(spec.Name), Limit: r.limitOf(spec)}
	r.noteLimitAnnounced(args.Endpoint)
	for _, group := range relayGroups(r.otherHosts(time.Now(), anyHost)) {
		go r.sendLimit(context.Background(), group, args)
	}
}

// sendLimit sends a limit to the first host of a group, or to the next one if that doesn't
// answer.
func (r *Router) sendLimit(ctx context.Context, group []uint32, args LimitArgs) {
	for i, n := range group {
		h, _, known := r.board.Hosts.Get(n, time.Now())
		if !known {
			continue
		}
		args.Onward = group[i+1:]
		if r.pool.call(ctx, h.Peers, methodLimit, &args, &Nothing{}, r.timeout()) == nil {
			return
		}
	}
}

// ownerReportInterval is the minimum time between two reports of changed values from a host to an
// endpoint's owner, since every answer may name a different limit.
const ownerReportInterval = 100 * time.Millisecond

// reportToOwner sends this host's view of an endpoint's limit to its owner.
func (r *Router) reportToOwner(spec *config.Endpoint) {
	h, self, err := r.ownerOf(spec)
	if err != nil || self {
		return
	}
	number, now, due := config.NameNumber(spec.Name), clock.Now(), false
	r.board.Endpoints.Update(number, func(s *route.State) {
		if due = now.Sub(s.LimitReportedAt) >= ownerReportInterval; due {
			s.LimitReportedAt = now
		}
	})
	if due {
		go r.sendLimit(context.Background(), []uint32{h.Number}, LimitArgs{Endpoint: number, Limit: r.limitOf(spec)})
	}
}

// noteLimitAnnounced records when an endpoint's limit was last announced.
func (r *Router) noteLimitAnnounced(number uint32) {
	r.board.Endpoints.Update(number, func(s *route.State) { s.LimitAnnouncedAt = clock.Now() })
}

// Limit records another host's report of an endpoint's limit.
func (s *server) Limit(a *LimitArgs, _ *Nothing) error {
	if v := s.r.board.Config.View(); v != nil && v.Endpoints.Get(a.Endpoint) != nil {
		s.r.ReceivePeerLimit(v.Endpoints.Get(a.Endpoint), a.Limit)
		s.r.noteLimitAnnounced(a.Endpoint)
	}
	for _, n := range a.Onward {
		go s.r.sendLimit(s.ctx, []uint32{n}, LimitArgs{Endpoint: a.Endpoint, Limit: a.Limit})
	}
	return nil
}
