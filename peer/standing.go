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

// StandingArgs reports the revisions that a host which watches the platform has in force, and how
// fresh they are.
type StandingArgs struct {
	Number   uint32 // of the reporting host
	Revision uint64
	Roster   config.Position
	Heard    uint32 // as in ExchangeArgs
	Sent     SentAt
	Onward   []uint32 // hosts to which the receiver forwards the report
}

// standingInterval is the minimum time between two reports of a host to its domain. Two hosts per
// domain send them, each after an answer of the platform, which comes within a third of the
// bound. So the others know within relyShare of the bound that nothing has changed. Without these
// reports the information would travel by exchanges, which takes longer, and other hosts would
// ask the platform themselves.
const standingInterval = 500 * time.Millisecond

// A host sends a report to few hosts directly. If there are many, it sends the report to one host
// per group, which forwards it to the rest of the group: when two hosts sent it to hundreds, that
// cost them more than all their other control traffic.
const (
	maxDirectHosts = 40 // hosts that are sent a report directly
	relayGroupSize = 12 // hosts per group
)

// AnnounceToDomain reports the revisions that this host has in force to the live hosts of its failure
// domain. It is called after each answer of the platform, on the hosts that watch it for others.
func (r *Router) AnnounceToDomain(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	due := now.Sub(r.standingSentAt) >= standingInterval
	if due {
		r.standingSentAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	for _, group := range relayGroups(r.domainHosts(now)) {
		go r.sendStandingToGroup(ctx, group)
	}
}

// domainHosts returns the numbers of the other live hosts of the own failure domain, without
// unconfirmed ones.
func (r *Router) domainHosts(now time.Time) []uint32 {
	return r.otherHosts(now, func(h *blackboard.Host) bool { return h.Domain == r.board.Settings.Domain && !h.Unconfirmed })
}

// otherHosts returns the numbers of the other live hosts that fits accepts.
func (r *Router) otherHosts(now time.Time, fits func(h *blackboard.Host) bool) (out []uint32) {
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Number != r.board.Number && h.Peers != "" && fits(h) {
			out = append(out, h.Number)
		}
	})
	return out
}

// relayGroups divides hosts into groups at random, so that a group whose first host has just gone
// isn't missed twice. If there are few hosts, each forms a group of its own.
func relayGroups(hosts []uint32) [][]uint32 {
	size := 1
	if len(hosts) > maxDirectHosts {
		size = relayGroupSize
	}
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	return slices.Collect(slices.Chunk(hosts, size))
}

// sendStandingToGroup sends a report to the first host of a group, or to the next one if that
// doesn't answer.
func (r *Router) sendStandingToGroup(ctx context.Context, group []uint32) {
	for i, n := range group {
		now := time.Now()
		h, _, known := r.board.Hosts.Get(n, now)
		age, confirmed := r.board.Config.PlatformSilence(now) // read first, as in buildExchange
		if !known || !confirmed {
			continue
		}
		args := &StandingArgs{Number: r.board.Number, Revision: r.board.Config.Revision(), Roster: r.board.Config.RosterRevision(),
			Heard: encodeAge(age), Sent: r.sentNow(), Onward: group[i+1:]}
		if r.sendStanding(ctx, h.Peers, args) {
			return
		}
	}
}

// sendStanding sends a report to one host, and reports whether it answered. It retries over a new
// connection, as the open one may have gone silent.
func (r *Router) sendStanding(ctx context.Context, addr string, args *StandingArgs) bool {
	err := r.pool.call(ctx, addr, methodStanding, args, &Nothing{}, r.timeout())
	if errors.Is(err, ErrUnreachable) {
		err = r.pool.callOnNewConn(ctx, addr, methodStanding, args, &Nothing{}, r.timeout())
	}
	return err == nil
}

// Standing applies a report of a host of the same domain.
func (s *server) Standing(a *StandingArgs, _ *Nothing) error {
	now := time.Now()
	if h, _, known := s.r.board.Hosts.Get(a.Number, now); known {
		peer := aheadPeer{from: HostIdentity{h.Name, h.Domain, h.Region, h.Peers}, revision: a.Revision, roster: a.Roster}
		s.r.applyStanding(peer, a.Heard, now.Add(-s.r.transits.delay(a.Number, a.Sent, s.r.uptime())))
		if !s.r.isBehind(peer) { // otherwise it is announced once it is in force here
			for _, n := range a.Onward {
				go s.r.sendStandingToGroup(s.ctx, []uint32{n})
			}
		}
	}
	return nil
}

// encodeAge returns the age of the platform's last answer in the form of ExchangeArgs.Heard.
func encodeAge(age time.Duration) uint32 { return 1 + uint32(max(0, age).Milliseconds()) }

// applyStanding records which revisions another host has in force and how old its knowledge was at a time
// (0: unknown), and fetches what this host lacks.
func (r *Router) applyStanding(peer aheadPeer, age uint32, at time.Time) {
	now := time.Now()
	if r.board.Config.ObserveRevisions(peer.revision, peer.roster, now) {
		r.log.Info("later revision heard of", zap.Uint64("revision", peer.revision), zap.Uint64("in_force", r.board.Config.Revision()), zap.String("from", peer.from.Name))
	}
	// Skip this if the process was paused: the message may have arrived long before now.
	if age > 0 && !r.isBehind(peer) && r.board.Pause.RanSince(now.Add(-r.timeout())) {
		r.board.Config.RecordReportedAnswer(at.Add(-config.Millis(int(age - 1))))
	}
	r.catchUp(peer)
}
