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

// What hosts tell each other of the limits that endpoints name. Who hears in an answer that one
// begins to name a limit, or names none any more, tells all live hosts at once, so that they ask
// for starts from then on, or no longer; another value is told to the endpoint's owner alone,
// whom the others ask. Asks for starts carry what the asker knows and bring back what the owner
// knows, and a host that was told nothing hears it with its first answer.

// LimitArgs tells of an endpoint's limit.
type LimitArgs struct {
	Endpoint uint32
	Limit    pace.Told
	Onward   []uint32 // hosts that the one that is told tells in turn
}

// Heard takes in what an answer of an endpoint to this host said of its limit.
func (r *Router) Heard(spec *config.Endpoint, w pace.Word) {
	switch r.hear(spec.Name, w, "its answer") {
	case pace.ChangeBegan, pace.ChangeEnded:
		r.tellLimit(spec)
	case pace.ChangeValue:
		r.tellOwner(spec)
	case pace.ChangeNone:
		r.confirmLimit(spec)
	}
}

// limitAgain is how long after the last word of a change it is told again, with what is known by
// then.
const limitAgain = 100 * time.Millisecond

// confirmLimit tells of a change again for some time, with a later answer. One that took a limit
// back is of the moment at which its call was sent: hosts that had heard the limit a moment later
// keep to it, and those that take it for over see no change any more. Words are lost, too.
func (r *Router) confirmLimit(spec *config.Endpoint) {
	due := false
	r.board.Endpoints.Find(config.NameNumber(spec.Name), func(_ *config.View, s *route.State) {
		now := clock.Now()
		due = s.Limit.Changed(now) && now.Sub(s.LimitNews) >= limitAgain
	})
	if due {
		r.tellLimit(spec)
	}
}

// LimitTold implements owner.Peers.
func (r *Router) LimitTold(spec *config.Endpoint, t pace.Told) {
	if t.Heard {
		r.hear(spec.Name, t.Word(clock.Now()), "another host")
	}
}

// hear takes a word of an endpoint's limit in, and logs what it changes.
func (r *Router) hear(endpoint string, w pace.Word, from string) pace.Change {
	c := r.board.Endpoints.Hear(config.NameNumber(endpoint), clock.Now(), w)
	if c != pace.ChangeNone {
		r.log.Info(c.String(), zap.String("endpoint", endpoint), zap.Float64("per_s", w.PerSecond), zap.String("from", from))
	}
	return c
}

// tellLimit tells all live hosts what this one knows of an endpoint's limit.
func (r *Router) tellLimit(spec *config.Endpoint) {
	args := LimitArgs{Endpoint: config.NameNumber(spec.Name), Limit: r.limitOf(spec)}
	r.noteLimitNews(args.Endpoint)
	for _, group := range standingGroups(r.otherHosts(time.Now(), anyHost)) {
		go r.tellLimitTo(context.Background(), group, args)
	}
}

// tellLimitTo tells the first host of a group, or the next one where it gives no answer.
func (r *Router) tellLimitTo(ctx context.Context, group []uint32, args LimitArgs) {
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

// ownerTold is the least time between two times that a host tells an endpoint's owner that
// another limit is named, as each answer may name another one.
const ownerTold = 100 * time.Millisecond

// tellOwner tells an endpoint's owner what this host knows of its limit.
func (r *Router) tellOwner(spec *config.Endpoint) {
	h, self, err := r.ownerOf(spec)
	if err != nil || self {
		return
	}
	number, now, due := config.NameNumber(spec.Name), clock.Now(), false
	r.board.Endpoints.Touch(number, func(s *route.State) {
		if due = now.Sub(s.LimitTold) >= ownerTold; due {
			s.LimitTold = now
		}
	})
	if due {
		go r.tellLimitTo(context.Background(), []uint32{h.Number}, LimitArgs{Endpoint: number, Limit: r.limitOf(spec)})
	}
}

// noteLimitNews notes that hosts are told of an endpoint's limit.
func (r *Router) noteLimitNews(number uint32) {
	r.board.Endpoints.Touch(number, func(s *route.State) { s.LimitNews = clock.Now() })
}

// Limit takes in what another host tells of an endpoint's limit.
func (s *server) Limit(a *LimitArgs, _ *Nothing) error {
	if v := s.r.board.Config.View(); v != nil && v.Endpoints.Get(a.Endpoint) != nil {
		s.r.LimitTold(v.Endpoints.Get(a.Endpoint), a.Limit)
		s.r.noteLimitNews(a.Endpoint)
	}
	for _, n := range a.Onward {
		go s.r.tellLimitTo(s.ctx, []uint32{n}, LimitArgs{Endpoint: a.Endpoint, Limit: a.Limit})
	}
	return nil
}
