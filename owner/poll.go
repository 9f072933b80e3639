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

// feedInterval is the interval of reads of the cache feed.
const feedInterval = 2 * time.Second

// idleSchedulerKept is how long an unused scheduler is kept if this host doesn't own its endpoint.
const idleSchedulerKept = 5 * time.Second

// pollNotOwnedFor is how long after its last use an endpoint is polled if this host doesn't own it.
// Hosts with another view of the members send requests to a host that isn't the owner by its
// own view. When such endpoints were polled for all of idleSchedulerKept, several hosts polled
// each endpoint whenever views differed.
const pollNotOwnedFor = time.Second

// maxUnpacedInterval is the maximum time between state polls while an engine's step time is still unknown.
const maxUnpacedInterval = 400 * time.Millisecond

// Poller returns the controller that polls owned endpoints. Each piece of work polls one
// endpoint, so that several workers poll in parallel and a frozen endpoint blocks only one.
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
	for _, sched := range o.schedulers {
		sched.mu.Lock()
		if !sched.needsPolling() || !o.owned[sched.number] && now.Sub(sched.lastUsed) > pollNotOwnedFor {
			sched.mu.Unlock()
			continue
		}
		due := sched.nextPoll()
		if sched.awaitsPath && o.board.Paths.State(sched.spec.Address, now) != blackboard.PathNone {
			sched.nextState, due = now, now
		}
		if !sched.polling && !due.After(now) {
			sched.polling = true
			sched.mu.Unlock()
			return func(ctx context.Context) { o.poll(ctx, sched) }, time.Time{}
		}
		busy := sched.polling
		sched.mu.Unlock()
		if !busy && (again.IsZero() || due.Before(again)) {
			again = due
		}
	}
	return nil, again
}

// needsPolling reports whether the endpoint needs polling. An endpoint that registered itself
// keeps its state in its registration, so only the contents of decode memory need polls.
func (s *Scheduler) needsPolling() bool { return !s.spec.Registered || s.ledger != nil }

func (s *Scheduler) nextPoll() time.Time {
	t := s.nextState
	if s.nextList.Before(t) {
		t = s.nextList
	}
	if s.queue != nil && s.nextFeed.Before(t) {
		t = s.nextFeed
	}
	return t
}

// poll does what is due for one endpoint.
func (o *Owner) poll(ctx context.Context, sched *Scheduler) {
	settings := o.board.Settings
	now := time.Now()
	every := o.pollInterval(sched, config.Millis(settings.PollMillis))
	sched.mu.Lock()
	sched.applyView(o.board.Config.View(), o.share(o.board.Config.View()))
	state, list, feed := !sched.nextState.After(now), !sched.nextList.After(now), o.followsFeed(sched) && !sched.nextFeed.After(now)
	next := func(t *time.Time, due bool, every time.Duration) {
		if due {
			*t = now.Add(every)
		}
	}
	if sched.ledger != nil && sched.ledger.PaceUnknown() {
		every = min(every, maxUnpacedInterval)
	}
	next(&sched.nextState, state, every)
	next(&sched.nextList, list, config.Millis(settings.ListMillis))
	next(&sched.nextFeed, feed, feedInterval)
	sched.mu.Unlock()
	if sched.needsTakeover() {
		o.takeOver(ctx, sched)
	}
	if state {
		o.pollState(ctx, sched)
	}
	if list && !sched.reportsIncludeList() && sched.spec.Role != config.Service {
		o.pollList(ctx, sched)
	}
	if feed {
		o.pollFeed(ctx, sched)
	}
	sched.mu.Lock()
	sched.polling = false
	d := sched.digest(time.Now(), o.board.Config.View().Doc.Policy.Mode.Reserves())
	sched.mu.Unlock()
	o.board.Endpoints.Learn(d, time.Now())
}

const (
	// maxPollShare is the share of an endpoint's named limit that polls may use.
	maxPollShare = 0.1
	// maxPollInterval is the longest time between two polls: after it the endpoint's state is stale.
	maxPollInterval = 3 * time.Second
)

// pollInterval returns the time between two polls of an endpoint. An endpoint that names a limit may
// or may not count polls towards it, so polls are kept to a small share of the limit.
func (o *Owner) pollInterval(sched *Scheduler, normal time.Duration) time.Duration {
	perSecond, limited, backingOff := 0.0, false, false
	o.board.Endpoints.Find(sched.number, func(_ *config.View, s *route.State) {
		perSecond, limited = s.Limit.Limit(clock.Now())
		backingOff = s.IsBackingOff(time.Now())
	})
	if backingOff {
		return max(normal, maxPollInterval)
	}
	if !limited {
		return normal
	}
	if perSecond*maxPollShare*maxPollInterval.Seconds() <= 1 {
		return max(normal, maxPollInterval)
	}
	return max(normal, time.Duration(float64(time.Second)/(perSecond*maxPollShare)))
}

// followsFeed reports whether an endpoint's cache feed is read periodically. The caches of decode
// endpoints are read on demand.
func (o *Owner) followsFeed(sched *Scheduler) bool {
	return sched.queue != nil && !o.engine.Traits().DecodeCaches
}

// needsTakeover reports whether the contents of the endpoint's memory are still unknown.
func (s *Scheduler) needsTakeover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger != nil && !s.ready
}

// reportsIncludeList reports whether the endpoint's state reports include its list of requests.
func (s *Scheduler) reportsIncludeList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ReportsHeld
}

func (o *Owner) pollState(ctx context.Context, sched *Scheduler) {
	began, witness := time.Now(), o.board.Answers.Witness(pollTimeout/4)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	st, err := o.engine.State(ctx, sched.spec.Address)
	conclusive := witness.Stop()
	o.Polls.Add(1)
	now := time.Now()
	o.recordNotice(sched, st, err)
	if err == nil {
		o.board.Answers.Record(began)
	}
	sched.mu.Lock()
	sched.awaitsPath = err != nil && o.board.Paths.State(sched.spec.Address, now) == blackboard.PathNone
	sched.mu.Unlock()
	if err != nil && !o.isConclusive(ctx, sched, err, conclusive, began) {
		return
	}
	sched.mu.Lock()
	if err != nil {
		sched.failedPolls++
		if sched.failedPolls == downAfter {
			o.log.Warn("endpoint is down", zap.String("endpoint", sched.spec.Name), zap.Error(err))
		}
		sched.mu.Unlock()
		return
	}
	if sched.isStale(st) {
		sched.mu.Unlock()
		return
	}
	if sched.failedPolls >= downAfter {
		o.log.Info("endpoint is back", zap.String("endpoint", sched.spec.Name))
		sched.possiblyColdUntil = now.Add(config.Millis(sched.spec.ColdStartMillis))
	}
	if st.Incarnation == 0 {
		st.Incarnation = sched.state.Incarnation // this report doesn't include it
	}
	restarted := sched.state.Incarnation != 0 && st.Incarnation != sched.state.Incarnation
	if restarted {
		o.log.Info("endpoint started again", zap.String("endpoint", sched.spec.Name), zap.Uint64("incarnation", st.Incarnation))
		sched.restart(now)
		sched.nextState = now.Add(config.Millis(o.board.Settings.PollMillis))
	}
	sched.failedPolls, sched.state = 0, *st
	if st.ReportsHeld {
		o.applyList(sched, now, st.Held)
		sched.ready, sched.nextList = true, now.Add(config.Millis(o.board.Settings.PollMillis))
	}
	if restarted && !st.ReportsHeld {
		sched.nextList = now
	}
	sched.mu.Unlock()
	o.correctState(ctx, sched, st)
}

// recordNotice records the notices in the header of a state report. A report without a limit changes
// nothing, as reports need not repeat it.
func (o *Owner) recordNotice(sched *Scheduler, st *endpoint.State, err error) {
	if err != nil {
		return
	}
	sched.mu.Lock()
	spec := sched.spec
	sched.mu.Unlock()
	started := spec.Born
	if started > 0 {
		started = max(started, int64(st.Incarnation)) // a later start may not be registered yet
	}
	o.board.Endpoints.ObserveNotice(sched.number, route.Notice{Leaving: st.Notice.Leaving, Started: started, ReceivedAt: time.Now()})
	if !st.Notice.Limit.Named || o.peers == nil {
		return
	}
	o.peers.ReceiveLimit(spec, pace.Report{Named: true, PerSecond: st.Notice.Limit.PerSecond, At: clock.Now(), Started: spec.Born})
}

func (o *Owner) pollList(ctx context.Context, sched *Scheduler) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := o.engine.Requests(ctx, sched.spec.Address)
	o.Polls.Add(1)
	if err != nil {
		return
	}
	now := time.Now()
	sched.mu.Lock()
	o.applyList(sched, now, list)
	sched.ready = true
	check := sched.unclaimed(now, list)
	sched.mu.Unlock()
	o.reap(ctx, sched, now, check)
}

// applyList applies the endpoint's own list of requests. The caller holds the lock.
func (o *Owner) applyList(sched *Scheduler, now time.Time, list []endpoint.Running) {
	held := make(map[request.Attempt]endpoint.Running, len(list))
	for _, r := range list {
		a, err := request.ParseAttempt(r.ID)
		if err != nil {
			a = ledger.ForeignAttempt(r.ID) // not an attempt of this fleet, but it holds memory
		}
		held[a] = r
	}
	if sched.ledger != nil {
		sched.ledger.ApplyList(now, held)
	}
	if sched.queue != nil {
		sched.queue.DropIdle(now)
	}
}

// maxFeedPages bounds the number of pages of a cache feed that are read in one poll. Under load a
// feed has some hundred events a second, and a page holds some hundred.
const maxFeedPages = 12

// pollFeed reads the new events of an endpoint's cache feed.
func (o *Owner) pollFeed(ctx context.Context, sched *Scheduler) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	for range maxFeedPages {
		sched.mu.Lock()
		after, epoch := sched.feedNext, sched.feedEpoch
		sched.mu.Unlock()
		e, err := o.engine.CacheEvents(ctx, sched.spec.Address, after)
		o.Polls.Add(1)
		if err != nil {
			o.log.Debug("cache feed poll failed", zap.String("endpoint", sched.spec.Name), zap.Error(err))
			return
		}
		sched.mu.Lock()
		sched.learnHeads(e)
		sched.feedReadAt = time.Now()
		caughtUp := e.Next <= after && e.Epoch == epoch
		sched.mu.Unlock()
		if caughtUp || e.Epoch == 0 {
			return
		}
	}
}
