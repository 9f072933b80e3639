package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/ledger"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

// pollTimeout bounds a control call to an endpoint.
const pollTimeout = 500 * time.Millisecond

// feedEvery is how often the cache feed is read.
const feedEvery = 2 * time.Second

// idleBook is how long a book is kept that this host doesn't own and that
// nobody asks for.
const idleBook = 5 * time.Second

// standInFor is how long after it was last asked for a book is polled that this host
// doesn't own. Hosts that see other members ask one that doesn't own the endpoint by
// its own view; with its book polled for all of idleBook, each endpoint was asked
// for its report by several hosts whenever views differed.
const standInFor = time.Second

// listSoon is the time until the next report while nothing is known of the time that an
// engine takes for a step.
const listSoon = 400 * time.Millisecond

// Poller returns the controller that polls owned endpoints. It hands out one
// endpoint at a time, so that several workers poll side by side and a frozen
// endpoint holds up one of them.
func (o *Owner) Poller() blackboard.Controller { return poller{o} }

type poller struct{ o *Owner }

// Next implements blackboard.Controller.
func (p poller) Next(now time.Time) (func(context.Context), time.Time) {
	o := p.o
	v := o.board.Config.View()
	if v == nil {
		return nil, time.Time{}
	}
	o.adopt(v, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	var again time.Time
	for _, b := range o.books {
		b.mu.Lock()
		if !b.polled() || !o.owned[b.number] && now.Sub(b.used) > standInFor {
			b.mu.Unlock()
			continue
		}
		due := b.due()
		if !b.polling && !due.After(now) {
			b.polling = true
			b.mu.Unlock()
			return func(ctx context.Context) { o.poll(ctx, b) }, time.Time{}
		}
		busy := b.polling
		b.mu.Unlock()
		if !busy && (again.IsZero() || due.Before(again)) {
			again = due
		}
	}
	return nil, again
}

// polled reports whether the endpoint is asked for reports. One that
// registered itself tells its state where it did; only what its memory holds
// is worth asking for.
func (b *Book) polled() bool { return !b.spec.Registered || b.ledger != nil }

func (b *Book) due() time.Time {
	t := b.nextState
	if b.nextList.Before(t) {
		t = b.nextList
	}
	if b.queue != nil && b.nextFeed.Before(t) {
		t = b.nextFeed
	}
	return t
}

// poll does what is due for one endpoint.
func (o *Owner) poll(ctx context.Context, b *Book) {
	s := o.board.Settings
	now := time.Now()
	every := o.pollEach(b, config.Millis(s.PollMillis))
	b.mu.Lock()
	b.fit(o.board.Config.View(), o.share(o.board.Config.View()))
	state, list, feed := !b.nextState.After(now), !b.nextList.After(now), o.feeds(b) && !b.nextFeed.After(now)
	next := func(t *time.Time, due bool, every time.Duration) {
		if due {
			*t = now.Add(every)
		}
	}
	if b.ledger != nil && b.ledger.Unpaced() {
		every = min(every, listSoon)
	}
	next(&b.nextState, state, every)
	next(&b.nextList, list, config.Millis(s.ListMillis))
	next(&b.nextFeed, feed, feedEvery)
	b.mu.Unlock()
	if b.fresh() {
		o.takeOver(ctx, b)
	}
	if state {
		o.pollState(ctx, b)
	}
	if list && !b.lists() && b.spec.Role != config.Service {
		o.pollList(ctx, b)
	}
	if feed {
		o.pollFeed(ctx, b)
	}
	b.mu.Lock()
	b.polling = false
	d := b.digest(time.Now(), o.board.Config.View().Doc.Policy.Mode.Reserves())
	b.mu.Unlock()
	o.board.Endpoints.Learn(d, time.Now())
}

const (
	// pollPart is the part of the limit that an endpoint names that polls may come to.
	pollPart = 0.1
	// pollMost is the longest time between two polls: what is known of an endpoint is stale then.
	pollMost = 3 * time.Second
)

// pollEach returns the time between two polls of an endpoint. One in need counts what it gets,
// and whether it counts polls isn't known: they come to so little that the sum stays at its limit.
func (o *Owner) pollEach(b *Book, usual time.Duration) time.Duration {
	perSecond, limited, resting := 0.0, false, false
	o.board.Endpoints.Find(b.number, func(_ *config.View, s *route.State) {
		perSecond, limited = s.Limit.Limit(clock.Now())
		resting = s.IsResting(time.Now())
	})
	if resting {
		return max(usual, pollMost)
	}
	if !limited {
		return usual
	}
	if perSecond*pollPart*pollMost.Seconds() <= 1 {
		return max(usual, pollMost)
	}
	return max(usual, time.Duration(float64(time.Second)/(perSecond*pollPart)))
}

// feeds reports whether an endpoint's cache feed is followed all the time. What
// decode endpoints keep is looked up when it is asked for.
func (o *Owner) feeds(b *Book) bool { return b.queue != nil && !o.engine.Traits().DecodeKeeps }

// fresh reports whether nothing is known yet of what the endpoint holds.
func (b *Book) fresh() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger != nil && !b.ready
}

// lists reports whether the endpoint's reports carry its list.
func (b *Book) lists() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Lists
}

func (o *Owner) pollState(ctx context.Context, b *Book) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	st, err := o.engine.State(ctx, b.spec.Address)
	o.Polls.Add(1)
	now := time.Now()
	o.heard(b, st, err)
	b.mu.Lock()
	if err != nil {
		b.fails++
		if b.fails == downAfter {
			o.log.Warn("endpoint is down", zap.String("endpoint", b.spec.Name), zap.Error(err))
		}
		b.mu.Unlock()
		return
	}
	if b.late(st) {
		b.mu.Unlock()
		return
	}
	if b.fails >= downAfter {
		o.log.Info("endpoint is back", zap.String("endpoint", b.spec.Name))
		b.maybeCold = now.Add(config.Millis(b.spec.ColdStartMillis))
	}
	if st.Incarnation == 0 {
		st.Incarnation = b.state.Incarnation // it isn't told this time
	}
	restarted := b.state.Incarnation != 0 && st.Incarnation != b.state.Incarnation
	if restarted {
		o.log.Info("endpoint started again", zap.String("endpoint", b.spec.Name), zap.Uint64("incarnation", st.Incarnation))
		b.restart(now)
		b.nextState = now.Add(config.Millis(o.board.Settings.PollMillis))
	}
	b.fails, b.state = 0, *st
	if st.Lists {
		o.takeList(b, now, st.Held)
		b.ready, b.nextList = true, now.Add(config.Millis(o.board.Settings.PollMillis))
	}
	if restarted && !st.Lists {
		b.nextList = now
	}
	b.mu.Unlock()
	o.correct(ctx, b, st)
}

// heard takes in what a report's head says of the endpoint. Where it names no limit that says
// nothing: reports needn't name it.
func (o *Owner) heard(b *Book, st *endpoint.State, err error) {
	if err != nil {
		return
	}
	b.mu.Lock()
	spec := b.spec
	b.mu.Unlock()
	o.board.Endpoints.Notice(b.number, route.Notice{Leaving: st.Notice.Leaving, Born: spec.Born, Heard: time.Now()})
	if !st.Notice.Limit.Named || o.peers == nil {
		return
	}
	o.peers.Heard(spec, pace.Word{Named: true, PerSecond: st.Notice.Limit.PerSecond, At: clock.Now(), Born: spec.Born})
}

func (o *Owner) pollList(ctx context.Context, b *Book) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := o.engine.Requests(ctx, b.spec.Address)
	o.Polls.Add(1)
	if err != nil {
		return
	}
	now := time.Now()
	b.mu.Lock()
	o.takeList(b, now, list)
	b.ready = true
	check := b.suspects(now, list)
	b.mu.Unlock()
	o.reap(ctx, b, now, check)
}

// takeList takes in the endpoint's own list; the caller holds the lock.
func (o *Owner) takeList(b *Book, now time.Time, list []endpoint.Running) {
	held := make(map[request.Attempt]endpoint.Running, len(list))
	for _, r := range list {
		a, err := request.ParseAttempt(r.ID)
		if err != nil {
			a = ledger.Foreign(r.ID) // not ours, but it holds memory
		}
		held[a] = r
	}
	if b.ledger != nil {
		b.ledger.Listed(now, held)
	}
	if b.queue != nil {
		b.queue.Forget(now)
	}
}

// feedPages bounds how many stretches of a cache feed are read at once. A feed
// tells some hundred events a second of an engine under load, and a stretch has
// some hundred.
const feedPages = 12

// pollFeed reads what an endpoint's cache feed tells since it was last read.
func (o *Owner) pollFeed(ctx context.Context, b *Book) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	for range feedPages {
		b.mu.Lock()
		after, epoch := b.feed, b.epoch
		b.mu.Unlock()
		e, err := o.engine.CacheEvents(ctx, b.spec.Address, after)
		o.Polls.Add(1)
		if err != nil {
			o.log.Debug("cache feed not read", zap.String("endpoint", b.spec.Name), zap.Error(err))
			return
		}
		b.mu.Lock()
		b.learnHeads(e)
		b.fed = time.Now()
		caughtUp := e.Next <= after && e.Epoch == epoch
		b.mu.Unlock()
		if caughtUp || e.Epoch == 0 {
			return
		}
	}
}
