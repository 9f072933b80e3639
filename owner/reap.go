package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// claimEvery is how often a holder confirms an attempt in an endpoint's list, before it
// counts as orphaned.
const claimEvery = 5 * time.Second

// suspects returns the attempts of the list that should be looked into; the
// caller holds the lock.
func (b *Book) suspects(now time.Time, list []endpoint.Running) []request.Attempt {
	var out []request.Attempt
	there := make(map[request.Attempt]bool, len(list))
	for _, r := range list {
		a, err := request.ParseAttempt(r.ID)
		if err != nil {
			continue
		}
		there[a] = true
		if now.Sub(b.confirmed[a]) > claimEvery {
			out = append(out, a)
		}
	}
	for a := range b.confirmed {
		if !there[a] {
			delete(b.confirmed, a)
		}
	}
	for a := range b.gone {
		if !there[a] {
			delete(b.gone, a)
		}
	}
	return out
}

// reap frees what is held for no one: attempts of a process that is gone,
// after a short grace, and attempts that their living holder doesn't know.
func (o *Owner) reap(ctx context.Context, b *Book, now time.Time, check []request.Attempt) {
	if o.board.Pause.Check() {
		return
	}
	ask := map[uint32][]request.Attempt{}
	for _, a := range check {
		switch o.holder(b, a, now) {
		case holderReplaced:
			o.cancel(ctx, b, a)
		case holderGone, holderLive:
			ask[a.ID.Host] = append(ask[a.ID.Host], a)
		}
	}
	for host, attempts := range ask {
		o.claim(ctx, b, host, attempts, now)
	}
}

type holderState int

const (
	holderUnsure holderState = iota // wait
	holderLive
	holderGone     // nothing heard for the grace; it is asked once more
	holderReplaced // its host runs another process
)

// holder judges whether the process that sent an attempt is still there.
func (o *Owner) holder(b *Book, a request.Attempt, now time.Time) holderState {
	h, live, known := o.board.Hosts.Get(a.ID.Host, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case known && h.Incarnation > a.ID.Incarnation:
		return holderReplaced
	case known && live && h.Incarnation == a.ID.Incarnation:
		delete(b.gone, a)
		return holderLive
	case known && live:
		return holderUnsure // restarted, and its heartbeat has not come yet
	}
	since, ok := b.gone[a]
	if !ok {
		b.gone[a] = now
		return holderUnsure
	}
	if now.Sub(since) < config.Millis(o.board.Settings.GraceMillis) {
		return holderUnsure
	}
	return holderGone
}

// claim asks a holder which of the attempts it knows, and cancels the others:
// holders record attempts before they send them. A holder that counts as gone
// and doesn't answer either knows none; that it counts as gone may be an error
// of others, so it is asked.
func (o *Owner) claim(ctx context.Context, b *Book, host uint32, attempts []request.Attempt, now time.Time) {
	held := make([]bool, len(attempts))
	h, live, known := o.board.Hosts.Get(host, now)
	switch {
	case host == o.board.Number:
		for i, a := range attempts {
			held[i] = o.board.Requests.Holds(a)
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
			o.cancel(ctx, b, a)
			continue
		}
		b.mu.Lock()
		b.confirmed[a] = now
		b.mu.Unlock()
	}
}

// cancel gives an orphaned attempt up at its endpoint.
func (o *Owner) cancel(ctx context.Context, b *Book, a request.Attempt) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	if err := o.engine.Abort(ctx, b.spec.Address, a.String()); err != nil {
		return
	}
	o.Reaped.Add(1)
	o.log.Info("orphaned attempt cancelled", zap.String("endpoint", b.spec.Name), zap.Stringer("attempt", a))
	o.Release([]Release{{Attempt: a, Endpoint: b.number, Outcome: GivenUp}})
}
