package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// claimValidFor is how long a holder's claim to an attempt in an endpoint's list is valid, before
// the holder is asked again.
const claimValidFor = 5 * time.Second

// unclaimed returns the attempts of the list that nobody has claimed lately. The caller holds
// the lock.
func (s *Scheduler) unclaimed(now time.Time, list []endpoint.Running) []request.Attempt {
	var out []request.Attempt
	listed := make(map[request.Attempt]bool, len(list))
	for _, r := range list {
		a, err := request.ParseAttempt(r.ID)
		if err != nil {
			continue
		}
		listed[a] = true
		if now.Sub(s.claimedAt[a]) > claimValidFor {
			out = append(out, a)
		}
	}
	for a := range s.claimedAt {
		if !listed[a] {
			delete(s.claimedAt, a)
		}
	}
	for a := range s.holderGoneSince {
		if !listed[a] {
			delete(s.holderGoneSince, a)
		}
	}
	return out
}

// reap cancels orphaned attempts: those of a process that is gone, after a short grace
// period, and those that their live holder doesn't know.
func (o *Owner) reap(ctx context.Context, sched *Scheduler, now time.Time, check []request.Attempt) {
	if o.board.Pause.Check() {
		return
	}
	byHolder := map[uint32][]request.Attempt{}
	for _, a := range check {
		switch o.checkHolder(sched, a, now) {
		case holderReplaced:
			o.cancel(ctx, sched, a)
		case holderGone, holderLive:
			byHolder[a.ID.Host] = append(byHolder[a.ID.Host], a)
		}
	}
	for host, attempts := range byHolder {
		o.claim(ctx, sched, host, attempts, now)
	}
}

type holderState int

const (
	holderUnsure holderState = iota // decide at a later poll
	holderLive
	holderGone     // silent for the grace period; it is asked once more
	holderReplaced // its host runs a newer process
)

// checkHolder returns whether the process that sent an attempt still runs.
func (o *Owner) checkHolder(sched *Scheduler, a request.Attempt, now time.Time) holderState {
	h, live, known := o.board.Hosts.Get(a.ID.Host, now)
	sched.mu.Lock()
	defer sched.mu.Unlock()
	switch {
	case known && h.Incarnation > a.ID.Incarnation:
		return holderReplaced
	case known && live && h.Incarnation == a.ID.Incarnation:
		delete(sched.holderGoneSince, a)
		return holderLive
	case known && live:
		return holderUnsure // restarted, and its new heartbeat has not arrived yet
	}
	since, ok := sched.holderGoneSince[a]
	if !ok {
		sched.holderGoneSince[a] = now
		return holderUnsure
	}
	if now.Sub(since) < config.Millis(o.board.Settings.GraceMillis) {
		return holderUnsure
	}
	return holderGone
}

// claim asks a holder which of the attempts it still has open and cancels the others. Holders
// record attempts before they send them, so an unknown one is orphaned. A holder that counts as
// gone is asked too, because other hosts may have suspected it wrongly. If it doesn't answer, all
// its attempts are cancelled.
func (o *Owner) claim(ctx context.Context, sched *Scheduler, host uint32, attempts []request.Attempt, now time.Time) {
	held := make([]bool, len(attempts))
	h, live, known := o.board.Hosts.Get(host, now)
	switch {
	case host == o.board.Number:
		for i, a := range attempts {
			held[i] = o.board.Requests.IsOpen(a)
		}
	case o.peers == nil:
		return
	case known && h.Peers != "":
		answer, err := o.peers.Claims(ctx, h, attempts)
		if err == nil && len(answer) == len(attempts) {
			held = answer
		} else if live {
			return
		}
	}
	for i, a := range attempts {
		if !held[i] {
			o.cancel(ctx, sched, a)
			continue
		}
		sched.mu.Lock()
		sched.claimedAt[a] = now
		sched.mu.Unlock()
	}
}

// cancel aborts an orphaned attempt at its endpoint.
func (o *Owner) cancel(ctx context.Context, sched *Scheduler, a request.Attempt) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	if err := o.engine.Abort(ctx, sched.spec.Address, a.String()); err != nil {
		return
	}
	o.Reaped.Add(1)
	o.log.Info("orphaned attempt cancelled", zap.String("endpoint", sched.spec.Name), zap.Stringer("attempt", a))
	o.Release([]Release{{Attempt: a, Endpoint: sched.number, Outcome: Abandoned}})
}
