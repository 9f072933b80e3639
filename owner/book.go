package owner

import (
	"sync"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/ledger"
	"github.com/embercove/embercove/queue"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Scheduler is an owner's state of one endpoint: the ledger or the queue, the last
// report, and learned averages. One lock guards all of it.
type Scheduler struct {
	mu     sync.Mutex
	view   *config.View
	spec   *config.Endpoint
	number uint32
	role   config.Role // a change of role needs a new scheduler

	ledger *ledger.Ledger // decode
	queue  *queue.Queue   // prefill

	ready       bool // the endpoint's list or the predecessor's reservations have been loaded
	state       endpoint.State
	failedPolls int  // consecutive failed state polls
	awaitsPath  bool // its last state poll failed, as there is no path to the endpoint
	wrongState  bool // the last report differs from the state that the revision asks for
	// possiblyColdUntil is the end of the time in which the endpoint may be cold because it was
	// unreachable: it may have restarted, and no registration reports that while the store
	// is unreachable.
	possiblyColdUntil time.Time
	roleChangeUntil   time.Time // end of the time in which an ordered role change is pending
	lastOrder         time.Time // time of the last order

	failureShare float64           // share of recent attempts that failed, as of failureShareAt
	feedTrust    float64           // share of the cached tokens promised by the feed that the engine had
	cachedHeads  map[uint32]uint32 // cached tokens by hash of the prompt's head
	feedNext     uint64            // next sequence number of the cache feed
	feedEpoch    uint64            // of the feed; sequence numbers of another epoch are unrelated
	feedReadAt   time.Time         // when the feed was last read

	silentShare    float64   // share of recent attempts that got nothing in a single silence, as of failureShareAt
	silentSince    time.Time // beginning of the last silence
	failureShareAt time.Time
	leavingShare   float64 // share of callers that left before their prefill ended

	claimedAt       map[request.Attempt]time.Time // when the holder last claimed the attempt
	holderGoneSince map[request.Attempt]time.Time // since when the attempt's holder is gone

	nextState, nextList, nextFeed time.Time
	polling                       bool
	lastUsed                      time.Time // last use on behalf of a request
}

func newScheduler(v *config.View, spec *config.Endpoint, share float64, now time.Time) *Scheduler {
	sched := &Scheduler{
		view: v, spec: spec, number: route.Number(spec.Name), role: spec.Role, feedTrust: initialFeedTrust,
		cachedHeads: map[uint32]uint32{}, claimedAt: map[request.Attempt]time.Time{}, holderGoneSince: map[request.Attempt]time.Time{},
		lastUsed: now, failureShareAt: now,
	}
	switch spec.Role {
	case config.Decode:
		sched.ledger = ledger.New(v, spec, share)
	case config.Prefill:
		sched.queue = queue.New(sched.teamWeight, spec.TokensPerSecond)
	}
	sched.ready = !sched.needsPolling() // without polls nothing else would make it ready
	return sched
}

// initialFeedTrust is the trust in a cache feed before anything is known of its accuracy.
const initialFeedTrust = 0.7

// teamWeight returns the configured weight of the team with a number.
func (s *Scheduler) teamWeight(team uint32) float64 {
	if t := s.view.TeamByNumber[team]; t != nil {
		return float64(t.Weight)
	}
	return 1
}

// applyView applies a new revision.
func (s *Scheduler) applyView(v *config.View, share float64) {
	spec := v.Endpoint(s.spec.Name)
	if spec == nil || v == s.view || spec.Role != s.role {
		return
	}
	restarted := spec.Born > s.spec.Born && s.spec.Born != 0 && uint64(spec.Born) > s.state.Incarnation // otherwise a report already showed this start or a later one
	s.view, s.spec = v, spec
	if s.ledger != nil {
		s.ledger.Configure(v, spec, share)
	}
	if restarted {
		s.restart(time.Now())
	}
}

// isStale reports whether a report comes from an earlier process of the endpoint, delayed
// on its way. The caller holds the lock.
func (s *Scheduler) isStale(st *endpoint.State) bool {
	return st.Incarnation != 0 && st.Incarnation < max(s.state.Incarnation, uint64(max(0, s.spec.Born)))
}

// restart drops the state of the endpoint's previous process, after it started again under
// the same name, and schedules an immediate poll. Reservations that have not arrived at the
// endpoint stay: their requests may still arrive. The caller holds the lock.
func (s *Scheduler) restart(now time.Time) {
	s.cachedHeads, s.feedNext = map[uint32]uint32{}, 0
	s.state, s.failedPolls = endpoint.State{Incarnation: uint64(max(0, s.spec.Born)), ReportsHeld: s.state.ReportsHeld}, 0
	s.roleChangeUntil, s.wrongState = time.Time{}, false
	s.possiblyColdUntil = now.Add(config.Millis(s.spec.ColdStartMillis))
	if s.ledger != nil {
		s.ledger.ApplyList(now, nil)
	}
	s.nextState, s.nextList, s.nextFeed = now, now, now
}

// digest returns the endpoint's state as announced to other hosts. The caller holds the lock.
func (s *Scheduler) digest(now time.Time, reserves bool) route.Digest {
	s.decayFailures(now)
	d := route.Digest{Number: s.number, FailPct: uint8(min(1, s.failureShare+s.silentShare) * 100),
		TrustPct: uint8(s.feedTrust * 100), Flags: s.flags()}
	if s.spec.ColdPerSecond > 0 && (now.Before(s.spec.ColdUntil) || now.Before(s.possiblyColdUntil)) {
		d.Flags |= route.FlagCold
	}
	switch {
	case s.ledger != nil:
		d.SlowPct = s.ledger.SlowPct()
	case s.queue != nil:
		d.SlowPct, d.LagMillis = uint16(s.queue.Pace.SlowFactor()*100), uint32(s.queue.Pace.Lag().Milliseconds())
	}
	switch {
	case s.queue != nil && reserves:
		d.QueueMillis = uint32(s.queue.Backlog(now).Milliseconds())
	case s.queue != nil:
		d.QueueMillis = uint32(float64(s.state.QueuedTokens) / s.spec.TokensPerSecond * 1000)
	case s.ledger != nil && reserves:
		tokens, slots, link := s.ledger.Free(now)
		d.FreeTokens, d.FreeSlots, d.LinkMillis = int32(tokens), int32(slots), uint32(link.Milliseconds())
		d.WaitMillis = uint32(s.ledger.Wait(now).Milliseconds())
	case s.ledger != nil:
		d.FreeTokens = int32(s.spec.MemoryTokens - s.state.MemoryUsed)
		d.FreeSlots = int32(s.spec.Slots - s.state.Running)
	}
	if s.queue != nil {
		d.Heads = s.topHeads()
	}
	return d
}

// brief returns the digest without cached prompts, for replies.
func (s *Scheduler) brief(now time.Time) route.Digest {
	d := s.digest(now, true)
	d.Heads = nil
	return d
}

// downAfter is the number of consecutive failed state polls after which an endpoint
// counts as down.
const downAfter = 2

func (s *Scheduler) flags() uint8 {
	var f uint8
	if s.failedPolls >= downAfter {
		f |= route.FlagDown
	}
	if s.state.Leaving || s.spec.Leaving {
		f |= route.FlagLeaving
	}
	if s.wrongState || time.Now().Before(s.roleChangeUntil) {
		f |= route.FlagWrongState
	}
	return f
}

// maxDigestHeads bounds the number of prompt heads in a digest.
const maxDigestHeads = 24

// minDigestHeadTokens is the shortest cached prefix worth announcing, in tokens.
const minDigestHeadTokens = 512

func (s *Scheduler) topHeads() []route.HeadDigest {
	out := make([]route.HeadDigest, 0, maxDigestHeads)
	for h, n := range s.cachedHeads {
		if n < minDigestHeadTokens {
			continue
		}
		if len(out) < maxDigestHeads {
			out = append(out, route.HeadDigest{Head: h, Tokens: n})
			continue
		}
		smallest := 0
		for i := range out {
			if out[i].Tokens < out[smallest].Tokens {
				smallest = i
			}
		}
		if out[smallest].Tokens < n {
			out[smallest] = route.HeadDigest{Head: h, Tokens: n}
		}
	}
	return out
}

// uncached returns the number of tokens expected to need prefill, and the number that the
// cache feed reports as cached, not yet weighted by the trust in the feed.
func (s *Scheduler) uncached(tokens int, head uint32, hasHead bool) (toPrefill, promised int) {
	if !hasHead {
		return max(1, tokens), 0
	}
	promised = min(int(s.cachedHeads[head]), tokens)
	return max(1, tokens-int(float64(promised)*s.feedTrust)), promised
}

// reserve reserves decode memory in the ledger or refuses the request.
func (s *Scheduler) reserve(now time.Time, a ReserveArgs) (at time.Time, refusal *result.Error) {
	if f := s.flags(); f != 0 {
		return time.Time{}, result.Errorf(result.NoEndpoint, "endpoint %s is down, leaving or in the wrong state", s.spec.Name).After(time.Second)
	}
	if refusal := s.checkRemoteMemory(now, a); refusal != nil {
		return time.Time{}, refusal
	}
	req := ledger.Request{Attempt: a.Attempt, Team: a.Team, Tokens: a.Tokens, MaxAnswer: a.MaxAnswer, Expected: a.Expected, IDHash: a.Mark,
		Bytes: a.Bytes, PrefillIn: duration(a.InMillis), Slack: duration(a.Slack)}
	if a.Spare > 0 {
		return now, s.ledger.ReserveReplica(now, req, a.Spare)
	}
	return s.ledger.Reserve(now, req, s.teamWeight)
}

// admit adds a request to the queue of a prefill engine or refuses it. Queued
// requests that it displaces are refused too.
func (s *Scheduler) admit(now time.Time, a EnqueueArgs) (*queue.Item, *result.Error) {
	if s.queue == nil || s.flags() != 0 {
		return nil, result.Errorf(result.NoEndpoint, "endpoint %s accepts no prompts now", s.spec.Name).After(time.Second)
	}
	if refusal := s.checkRemoteQueue(now, a); refusal != nil {
		return nil, refusal
	}
	tokens, promised := s.uncached(a.Tokens, a.Head, a.HasHead)
	work, lag := s.queue.Pace.Work(tokens), s.queue.Pace.Lag()
	it := &queue.Item{Attempt: a.Attempt, Team: a.Team, Priority: a.Priority, Tokens: tokens, Work: work, Lag: lag, CachedTokens: promised, Arrived: now,
		LatestStart: now.Add(duration(a.Slack) - work - lag), NotBefore: now.Add(duration(a.NotYet)), Result: make(chan *result.Error, 1)}
	blend(&s.leavingShare, 0, learnLeaving)
	if hold := s.prefillNotBefore(now, it); hold.After(it.NotBefore) {
		it.NotBefore = hold
	}
	displaced, refusal := s.queue.Admit(now, it)
	if refusal != nil {
		return nil, refusal
	}
	for _, p := range displaced {
		p.Result <- result.Errorf(result.TooLate, "displaced by requests of higher priority or of teams with less use").After(work + queue.Lookahead)
	}
	return it, nil
}

// prefillNotBefore returns the time before which a request's prefill should not end. It delays
// prefills to avoid work for callers that leave early, if the configuration weighs wasted
// prefill more than goodput. The delay shrinks with the share of callers that leave.
func (s *Scheduler) prefillNotBefore(now time.Time, it *queue.Item) time.Time {
	share := s.view.MaxPrefillDelayShare() * min(1, s.leavingShare/fullDelayShare)
	return now.Add(time.Duration(share*float64(it.LatestStart.Sub(now))) + it.Work)
}

// fullDelayShare is the share of callers leaving early at which the full delay applies.
const fullDelayShare = 0.08
