package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// StandingArgs tells what a host that asks the platform has in force, and how fresh it is.
type StandingArgs struct {
	Number   uint32 // of the host
	Revision uint64
	Roster   config.Position
	Heard    uint32   // as in ExchangeArgs
	Onward   []uint32 // hosts that the one that is told tells in turn
}

// standingEach is the least time between two times that a host tells its domain. Two hosts
// of a domain do, each after an answer of the platform, which comes in a third of the bound
// at the latest: so the others know within relyShare of it that nothing has changed. Without
// it, word of the answers goes by exchanges and takes longer, and others ask the platform
// themselves.
const standingEach = 500 * time.Millisecond

// A host tells each of few others itself, and of many one in each group, which tells the
// rest of its group: where two tell hundreds, that is more than all other control of theirs.
const (
	standingFew   = 40 // hosts that are told directly
	standingGroup = 12 // hosts of a group
)

// TellDomain tells the live hosts of the own failure domain what this one has in force. It
// is called after each answer of the platform, by the hosts that ask it for others.
func (r *Router) TellDomain(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	due := now.Sub(r.domainAt) >= standingEach
	if due {
		r.domainAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	for _, group := range standingGroups(r.domainHosts(now)) {
		go r.tellGroup(ctx, group)
	}
}

// domainHosts returns the numbers of the other live hosts of the own failure domain that
// aren't doubted.
func (r *Router) domainHosts(now time.Time) []uint32 {
	return r.otherHosts(now, func(h *blackboard.Host) bool { return h.Domain == r.board.Settings.Domain && !h.Doubted })
}

// otherHosts returns the numbers of the other live hosts that fit.
func (r *Router) otherHosts(now time.Time, fits func(h *blackboard.Host) bool) (out []uint32) {
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Number != r.board.Number && h.Peers != "" && fits(h) {
			out = append(out, h.Number)
		}
	})
	return out
}

// standingGroups divides hosts into groups, others each time, so that one whose first host
// has just gone isn't left out twice. Few hosts are a group each.
func standingGroups(hosts []uint32) [][]uint32 {
	size := 1
	if len(hosts) > standingFew {
		size = standingGroup
	}
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	return slices.Collect(slices.Chunk(hosts, size))
}

// tellGroup tells the first host of a group, or the next one where it gives no answer.
func (r *Router) tellGroup(ctx context.Context, group []uint32) {
	for i, n := range group {
		now := time.Now()
		h, _, known := r.board.Hosts.Get(n, now)
		heard, ever := r.board.Config.HeardFor(now) // first, as in tell
		if !known || !ever {
			continue
		}
		args := &StandingArgs{Number: r.board.Number, Revision: r.board.Config.Revision(), Roster: r.board.Config.RosterRevision(),
			Heard: heardMillis(heard), Onward: group[i+1:]}
		if r.tellStanding(ctx, h.Peers, args) {
			return
		}
	}
}

// tellStanding tells one host, and reports whether it answered. A connection that says
// nothing may have gone silent, as in an exchange.
func (r *Router) tellStanding(ctx context.Context, addr string, args *StandingArgs) bool {
	err := r.pool.call(ctx, addr, methodStanding, args, &Nothing{}, r.timeout())
	if errors.Is(err, ErrOutOfReach) {
		err = r.pool.callAnew(ctx, addr, methodStanding, args, &Nothing{}, r.timeout())
	}
	return err == nil
}

// Standing takes in what a host of the same domain has in force.
func (s *server) Standing(a *StandingArgs, _ *Nothing) error {
	now := time.Now()
	if h, _, known := s.r.board.Hosts.Get(a.Number, now); known {
		told := ahead{from: Name{h.Name, h.Domain, h.Region, h.Peers}, revision: a.Revision, roster: a.Roster}
		s.r.learnStanding(told, a.Heard, now)
		if !s.r.lacks(told) { // else it is news, which is told around once it is in force here
			for _, n := range a.Onward {
				go s.r.tellGroup(s.ctx, []uint32{n})
			}
		}
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
