package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// StandingArgs tells what a host that asks the platform has in force, and how fresh it is.
type StandingArgs struct {
	Number   uint32 // of the host
	Revision uint64
	Roster   uint64
	Heard    uint32 // as in ExchangeArgs
}

// standingEach is the least time between two times that a host tells its domain. Two hosts
// of a domain do, each after an answer of the platform, which comes in a third of the bound
// at the latest: so the others know within relyShare of it that nothing has changed. Without it, word of the answers went by exchanges, took longer, and
// 58 hosts at rest made 279 calls to the platform in 30 s instead of 60 (virtual time).
const standingEach = 500 * time.Millisecond

// TellDomain tells the live hosts of the own failure domain what this one has in force. It
// is called after each answer of the platform, by the hosts that ask it for others.
func (r *Router) TellDomain(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	due := now.Sub(r.stoodAt) >= standingEach
	if due {
		r.stoodAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	heard, ever := r.board.Config.HeardFor(now) // first, as in tell
	if !ever {
		return
	}
	args := &StandingArgs{Number: r.board.Number, Revision: r.board.Config.Revision(), Roster: r.board.Config.RosterRevision(), Heard: heardMillis(heard)}
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Number != r.board.Number && h.Domain == r.board.Settings.Domain && h.Peers != "" && !h.Doubted {
			go r.tellStanding(ctx, h.Peers, args)
		}
	})
}

// tellStanding tells one host. A connection that says nothing may have gone silent, as in
// an exchange.
func (r *Router) tellStanding(ctx context.Context, addr string, args *StandingArgs) {
	if r.pool.call(ctx, addr, methodStanding, args, &Nothing{}, r.timeout()) == ErrOutOfReach {
		_ = r.pool.callAnew(ctx, addr, methodStanding, args, &Nothing{}, r.timeout()) // it is told again soon
	}
}

// Standing takes in what a host of the same domain has in force.
func (s *server) Standing(a *StandingArgs, _ *Nothing) error {
	now := time.Now()
	if h, _, known := s.r.board.Hosts.Get(a.Number, now); known {
		s.r.learnStanding(ahead{from: Name{h.Name, h.Domain, h.Region, h.Peers}, revision: a.Revision, roster: a.Roster}, a.Heard, now)
	}
	return nil
}

// heardMillis is how an age of the platform's last answer is told.
func heardMillis(age time.Duration) uint32 { return 1 + uint32(max(0, age).Milliseconds()) }

// learnStanding takes in what another host has in force and how fresh that is (0: unknown),
// and fetches what this host lacks.
func (r *Router) learnStanding(told ahead, heard uint32, now time.Time) {
	if r.board.Config.HeardOf(told.revision, told.roster, now) {
		r.log.Info("later revision heard of", zap.Uint64("revision", told.revision), zap.Uint64("in_force", r.board.Config.Revision()), zap.String("from", told.from.Name))
	}
	// A process that was held up reads what may have come long before.
	if heard > 0 && !r.lacks(told) && r.board.Pause.RanSince(now.Add(-r.timeout())) {
		r.board.Config.Told(now.Add(-config.Millis(int(heard - 1))))
	}
	r.catchUp(told)
}
