package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
)

// This file spreads failure marks, which record requests that were running on endpoints as those
// crashed. A changed mark is sent to all live hosts at once. Exchanges also carry a checksum of
// all marks, so that hosts that were partitioned or have just started get what they lack. Of two
// marks of a request the higher one wins, so no crash is lost with the host that saw it, and none
// is counted twice.

// MarksArgs carries failure marks.
type MarksArgs struct {
	Rows   []quarantine.Row
	Parts  quarantine.PartNews
	Onward []uint32 // hosts to which the receiver forwards the marks
	Answer bool     // the receiver's own marks are requested
}

// MarksReply carries the marks that were requested.
type MarksReply struct {
	Rows  []quarantine.Row
	Parts quarantine.PartNews
}

// TrialArgs requests a probe of a suspect request.
type TrialArgs struct{ quarantine.Ask }

// TrialReply answers TrialArgs.
type TrialReply struct{ quarantine.Reply }

// TrialDoneArgs ends a probe, or reports that its run has settled.
type TrialDoneArgs struct {
	Holder  uint64
	Request request.Fingerprint
	End     quarantine.ProbeEnd
	Known   []quarantine.Row
	Parts   quarantine.PartNews
}

// maxMarks is how many marks are sent at once, about 90 bytes each. Hosts that lack more get them
// with later exchanges.
const maxMarks = 1024

// marksInterval is the minimum time between two comparisons of a host's marks with those of
// others.
const marksInterval = time.Second

// AnnounceMarks sends changed marks to all live hosts.
func (r *Router) AnnounceMarks(rows []quarantine.Row) {
	if len(rows) > 0 {
		r.announce(MarksArgs{Rows: rows})
	}
}

// AnnounceParts sends what is new of parts of prompts to all live hosts.
func (r *Router) AnnounceParts(news quarantine.PartNews) { r.announce(MarksArgs{Parts: news}) }

func (r *Router) announce(a MarksArgs) {
	for _, group := range relayGroups(r.otherHosts(time.Now(), anyHost)) {
		go r.sendMarks(context.Background(), group, a)
	}
}

func anyHost(*blackboard.Host) bool { return true }

// sendMarks sends marks to the first host of a group, or to the next one if that doesn't answer.
func (r *Router) sendMarks(ctx context.Context, group []uint32, a MarksArgs) {
	for i, n := range group {
		h, _, known := r.board.Hosts.Get(n, time.Now())
		if !known {
			continue
		}
		a.Onward = group[i+1:]
		if _, err := r.callMarks(ctx, h, &a); err == nil {
			return
		}
	}
}

// callMarks makes one call with marks. It retries over a new connection, as the open one may have
// gone silent.
func (r *Router) callMarks(ctx context.Context, h blackboard.Host, args *MarksArgs) (*MarksReply, error) {
	reply := new(MarksReply)
	err := r.pool.call(ctx, h.Peers, methodMarks, args, reply, r.timeout())
	if errors.Is(err, ErrUnreachable) {
		reply = new(MarksReply)
		err = r.pool.callOnNewConn(ctx, h.Peers, methodMarks, args, reply, r.timeout())
	}
	return reply, err
}

// Marks merges marks from another host.
func (s *server) Marks(a *MarksArgs, reply *MarksReply) error {
	s.r.learnMarks(a.Rows)
	s.r.learnParts(a.Parts)
	for _, n := range a.Onward {
		go s.r.sendMarks(s.ctx, []uint32{n}, MarksArgs{Rows: a.Rows, Parts: a.Parts})
	}
	if a.Answer {
		reply.Rows, reply.Parts = s.r.sampleMarks(), s.r.board.Parts.News(clock.Now())
	}
	return nil
}

// learnMarks merges marks, and announces those that this host knows better than the sender.
func (r *Router) learnMarks(rows []quarantine.Row) {
	if len(rows) == 0 {
		return
	}
	r.AnnounceMarks(r.board.Suspects.Apply(rows, clock.Now()))
}

// learnParts merges what another host knows of parts, and announces what this host knows better.
func (r *Router) learnParts(news quarantine.PartNews) {
	if news.IsEmpty() {
		return
	}
	if answer := r.board.Parts.Apply(news, clock.Now()); !answer.IsEmpty() {
		r.AnnounceParts(answer)
	}
}

// marksHash returns a hash of all marks and of what is known of parts; 0: nothing is known.
func (r *Router) marksHash() uint64 { return r.board.Suspects.Hash() ^ r.board.Parts.Hash() }

// sampleMarks returns the marks to send in one message, a random subset if there are too many.
func (r *Router) sampleMarks() []quarantine.Row {
	rows := r.board.Suspects.Rows(clock.Now())
	if len(rows) > maxMarks {
		rand.Shuffle(len(rows), func(i, k int) { rows[i], rows[k] = rows[k], rows[i] })
		rows = rows[:maxMarks]
	}
	return rows
}

// compareMarks swaps marks with another host if its checksum differs from this host's.
func (r *Router) compareMarks(ctx context.Context, h blackboard.Host, sum uint64, now time.Time) {
	if sum == r.marksHash() {
		return
	}
	r.mu.Lock()
	due := now.Sub(r.marksComparedAt) >= marksInterval
	if due {
		r.marksComparedAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	reply, err := r.callMarks(ctx, h, &MarksArgs{Rows: r.sampleMarks(), Parts: r.board.Parts.News(clock.Now()), Answer: true})
	if err != nil {
		r.log.Debug("failure marks not compared", zap.String("host", h.Name), zap.Error(err))
		return
	}
	r.learnMarks(reply.Rows)
	r.learnParts(reply.Parts)
}

// coordinatorKey is the rendezvous key by which the hosts that grant probes are chosen.
const coordinatorKey = 0x7472_6961_6c73

// maxCoordinators is how many hosts are asked for a probe, one after the other.
const maxCoordinators = 2

// AcquireProbe asks a probe coordinator to grant a probe. All connected hosts ask the same
// one. If it is unreachable, the next one is asked, and if none is reachable, this host decides.
func (r *Router) AcquireProbe(ctx context.Context, a quarantine.Ask) quarantine.Reply {
	now := clock.Now()
	a.Known, a.KnownOfPart = r.board.Suspects.RowsOf(a.Request, now), r.board.Parts.NewsOf(a.Request, now)
	for _, h := range r.probeCoordinators(time.Now()) {
		if h.Number == r.board.Number {
			break
		}
		var reply TrialReply
		if r.noteOutcome(ctx, h, r.pool.call(ctx, h.Peers, methodTrial, &TrialArgs{a}, &reply, min(permitTimeout, r.timeout()))) == nil {
			r.learnMarks(reply.Known)
			r.learnParts(reply.KnownOfPart)
			return reply.Reply
		}
	}
	return r.grantProbe(a, now)
}

// grantProbe decides on a request for a probe as the host that grants them.
func (r *Router) grantProbe(a quarantine.Ask, now time.Time) (reply quarantine.Reply) {
	if a.Part {
		reply = r.board.Parts.Grant(a, now)
	} else {
		a.OutOfTouch = !r.reachesMostDomains(time.Now())
		reply = r.board.Suspects.Grant(a, now)
	}
	r.AnnounceMarks(reply.News)
	if reply.Granted {
		r.log.Info("probe granted", zap.Stringer("request", a.Request), zap.Uint64("holder", a.Holder), zap.Uint32("endpoint", a.Endpoint), zap.Bool("of_part", a.Part), zap.Bool("retry", reply.Retry))
	}
	return reply
}

// probeCoordinators returns the hosts that grant probes, in order of preference. They are in the
// first failure domain that this host isn't cut off from, whatever its region: a request is sent to hosts of all regions.
func (r *Router) probeCoordinators(now time.Time) (hosts []blackboard.Host) {
	v := r.board.Config.View()
	if v == nil {
		return nil
	}
	for _, d := range v.Doc.Domains {
		if r.board.Domains.CutOff(d.Name, now) {
			continue
		}
		for _, h := range r.board.Hosts.Order(coordinatorKey, d.Name, now) {
			if !h.Unconfirmed && len(hosts) < maxCoordinators {
				hosts = append(hosts, h)
			}
		}
		if len(hosts) > 0 {
			return hosts
		}
	}
	return nil
}

// reachesMostDomains reports whether this host isn't cut off from more than half of the failure domains.
func (r *Router) reachesMostDomains(now time.Time) bool {
	v := r.board.Config.View()
	if v == nil {
		return false
	}
	reached := 0
	for _, d := range v.Doc.Domains {
		if !r.board.Domains.CutOff(d.Name, now) {
			reached++
		}
	}
	return 2*reached > len(v.Doc.Domains)
}

// EndProbe ends a probe, or reports that its run has settled. It sends along what is known of
// the request, so that the next probe starts from that.
func (r *Router) EndProbe(f request.Fingerprint, holder uint64, end quarantine.ProbeEnd) {
	args := &TrialDoneArgs{Holder: holder, Request: f, End: end, Known: r.board.Suspects.RowsOf(f, clock.Now()), Parts: r.board.Parts.NewsOf(f, clock.Now())}
	r.applyProbeEnd(args)
	for _, h := range r.probeCoordinators(time.Now()) {
		if h.Number == r.board.Number {
			return
		}
		if r.pool.call(context.Background(), h.Peers, methodTrialDone, args, &Nothing{}, r.timeout()) == nil {
			return
		}
	}
}

// applyProbeEnd records the end of a probe, if this host granted it.
func (r *Router) applyProbeEnd(a *TrialDoneArgs) {
	if a.End == quarantine.ProbeSettled {
		r.board.Suspects.SettleProbe(a.Holder, clock.Now())
		r.board.Parts.SettleProbe(a.Holder, clock.Now())
		return
	}
	r.board.Suspects.EndProbe(a.Holder)
	r.board.Parts.EndProbe(a.Holder)
	r.AnnounceMarks(r.board.Suspects.RecordRetryEnd(a.Request, a.Holder, a.End, clock.Now()))
}

// Trial answers another host's request for a probe.
func (s *server) Trial(a *TrialArgs, reply *TrialReply) error {
	s.r.learnMarks(a.Known)
	s.r.learnParts(a.KnownOfPart)
	reply.Reply = s.r.grantProbe(a.Ask, clock.Now())
	return nil
}

// TrialDone records the end of another host's probe.
func (s *server) TrialDone(a *TrialDoneArgs, _ *Nothing) error {
	s.r.learnMarks(a.Known)
	s.r.learnParts(a.Parts)
	s.r.applyProbeEnd(a)
	return nil
}

// marksSweepInterval is how often expired marks are removed.
const marksSweepInterval = 10 * time.Second

// MarksSweeper returns the controller that removes expired marks.
func (r *Router) MarksSweeper() blackboard.Controller {
	return blackboard.Every(marksSweepInterval, func(context.Context) {
		r.AnnounceMarks(r.board.Suspects.Sweep(clock.Now()))
		r.board.Parts.Sweep(clock.Now())
	})
}
