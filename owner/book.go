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

// Book is what an owner knows of one endpoint: the ledger or the queue, the
// last report, and what was learned. One lock guards it all.
type Book struct {
	mu     sync.Mutex
	view   *config.View
	spec   *config.Endpoint
	number uint32
	role   config.Role // an endpoint of another role needs another book

	ledger *ledger.Ledger // decode
	queue  *queue.Queue   // prefill

	ready bool // the endpoint's own list was read since the tenure began
	state endpoint.State
	fails int // state polls that failed in a row
	wrong bool
	// maybeCold is until when it may be cold because it was out of reach: it may have
	// started anew, and where the store is out of reach no registration tells.
	maybeCold time.Time
	changing  time.Time // until when it is about to have another role
	ordered   time.Time

	failed float64 // share of attempts that failed lately, as of failedAt
	trust  float64 // how far the cache feed proved true
	heads  map[uint32]uint32
	feed   uint64    // next sequence number of the cache feed
	epoch  uint64    // of the feed; another one knows nothing of this
	fed    time.Time // when the feed was last read

	failedAt time.Time
	leaving  float64 // share of callers that left before their prompt was read

	confirmed map[request.Attempt]time.Time // when the holder last claimed it
	gone      map[request.Attempt]time.Time // since when its holder is gone

	nextState, nextList, nextFeed time.Time
	polling                       bool
	used                          time.Time // when it last did something for anyone
}

func newBook(v *config.View, spec *config.Endpoint, share float64, now time.Time) *Book {
	b := &Book{
		view: v, spec: spec, number: route.Number(spec.Name), role: spec.Role, trust: startTrust,
		heads: map[uint32]uint32{}, confirmed: map[request.Attempt]time.Time{}, gone: map[request.Attempt]time.Time{},
		used: now, failedAt: now,
	}
	switch spec.Role {
	case config.Decode:
		b.ledger = ledger.New(v, spec, share)
	case config.Prefill:
		b.queue = queue.New(b.teamWeight, spec.TokensPerSecond)
	}
	b.ready = !b.polled() // else nobody would ask for it, and it never would be
	return b
}

// startTrust is how far a cache feed is believed before it was tried.
const startTrust = 0.7

// teamWeight returns the configured weight of a team's number.
func (b *Book) teamWeight(team uint32) float64 {
	if t := b.view.TeamByNumber[team]; t != nil {
		return float64(t.Weight)
	}
	return 1
}

// fit takes over a new revision.
func (b *Book) fit(v *config.View, share float64) {
	spec := v.Endpoint(b.spec.Name)
	if spec == nil || v == b.view || spec.Role != b.role {
		return
	}
	again := spec.Born > b.spec.Born && b.spec.Born != 0 && uint64(spec.Born) > b.state.Incarnation // else its report told before of this start, or a later one
	b.view, b.spec = v, spec
	if b.ledger != nil {
		b.ledger.Fit(v, spec, share)
	}
	if again {
		b.restart(time.Now())
	}
}

// late reports whether a report is of a process that has ended since, and was long under
// way; the caller holds the lock.
func (b *Book) late(st *endpoint.State) bool {
	return st.Incarnation != 0 && st.Incarnation < max(b.state.Incarnation, uint64(max(0, b.spec.Born)))
}

// restart forgets what the endpoint held before it started again under its name, and has
// it asked at once; the caller holds the lock. What was only reserved there stays: it may
// still come.
func (b *Book) restart(now time.Time) {
	b.heads, b.feed = map[uint32]uint32{}, 0
	b.state, b.fails = endpoint.State{Incarnation: uint64(max(0, b.spec.Born)), Lists: b.state.Lists}, 0
	b.changing, b.wrong = time.Time{}, false
	b.maybeCold = now.Add(config.Millis(b.spec.ColdStartMillis))
	if b.ledger != nil {
		b.ledger.Listed(now, nil)
	}
	b.nextState, b.nextList, b.nextFeed = now, now, now
}

// digest returns what others are told of the endpoint; the caller holds the
// lock.
func (b *Book) digest(now time.Time, reserves bool) route.Digest {
	b.fadeFailures(now)
	d := route.Digest{Number: b.number, FailPct: uint8(min(1, b.failed) * 100),
		TrustPct: uint8(b.trust * 100), Flags: b.flags()}
	if b.spec.ColdPerSecond > 0 && (now.Before(b.spec.ColdUntil) || now.Before(b.maybeCold)) {
		d.Flags |= route.FlagCold
	}
	switch {
	case b.ledger != nil:
		d.SlowPct = b.ledger.SlowPct()
	case b.queue != nil:
		d.SlowPct, d.LagMillis = uint16(b.queue.Pace.Slow()*100), uint32(b.queue.Pace.Lag().Milliseconds())
	}
	switch {
	case b.queue != nil && reserves:
		d.QueueMillis = uint32(b.queue.Backlog(now).Milliseconds())
	case b.queue != nil:
		d.QueueMillis = uint32(float64(b.state.QueuedTokens) / b.spec.TokensPerSecond * 1000)
	case b.ledger != nil && reserves:
		tokens, slots, link := b.ledger.Free(now)
		d.FreeTokens, d.FreeSlots, d.LinkMillis = int32(tokens), int32(slots), uint32(link.Milliseconds())
		d.WaitMillis = uint32(b.ledger.Wait(now).Milliseconds())
	case b.ledger != nil:
		d.FreeTokens = int32(b.spec.MemoryTokens - b.state.MemoryUsed)
		d.FreeSlots = int32(b.spec.Slots - b.state.Running)
	}
	if b.queue != nil {
		d.Heads = b.topHeads()
	}
	return d
}

// brief is the digest without cached prompts, for replies.
func (b *Book) brief(now time.Time) route.Digest {
	d := b.digest(now, true)
	d.Heads = nil
	return d
}

// downAfter is how many state polls in a row must fail before an endpoint
// counts as down.
const downAfter = 2

func (b *Book) flags() uint8 {
	var f uint8
	if b.fails >= downAfter {
		f |= route.FlagDown
	}
	if b.state.Leaving || b.spec.Leaving {
		f |= route.FlagLeaving
	}
	if b.wrong || time.Now().Before(b.changing) {
		f |= route.FlagWrong
	}
	return f
}

// mostDigestHeads bounds how many prompt heads a digest tells of.
const mostDigestHeads = 24

// minHead is the least cached prefix worth telling, in tokens.
const minHead = 512

func (b *Book) topHeads() []route.HeadDigest {
	out := make([]route.HeadDigest, 0, mostDigestHeads)
	for h, n := range b.heads {
		if n < minHead {
			continue
		}
		if len(out) < mostDigestHeads {
			out = append(out, route.HeadDigest{Head: h, Tokens: n})
			continue
		}
		least := 0
		for i := range out {
			if out[i].Tokens < out[least].Tokens {
				least = i
			}
		}
		if out[least].Tokens < n {
			out[least] = route.HeadDigest{Head: h, Tokens: n}
		}
	}
	return out
}

// uncached returns the tokens that the endpoint will have to read, and those
// that its cache feed promised to be cached, before they are trusted.
func (b *Book) uncached(tokens int, head uint32, hasHead bool) (read, promised int) {
	if !hasHead {
		return max(1, tokens), 0
	}
	promised = min(int(b.heads[head]), tokens)
	return max(1, tokens-int(float64(promised)*b.trust)), promised
}

// reserve asks the ledger.
func (b *Book) reserve(now time.Time, a ReserveArgs) (at time.Time, refusal *result.Error) {
	if f := b.flags(); f != 0 {
		return time.Time{}, result.Errorf(result.NoEndpoint, "%s is down, leaving or in the wrong state", b.spec.Name).After(time.Second)
	}
	if refusal := b.ownRoomFirst(now, a); refusal != nil {
		return time.Time{}, refusal
	}
	ask := ledger.Ask{Attempt: a.Attempt, Team: a.Team, Tokens: a.Tokens, MaxAnswer: a.MaxAnswer, Expected: a.Expected, Mark: a.Mark,
		Bytes: a.Bytes, In: duration(a.InMillis), Slack: duration(a.Slack)}
	if a.Spare > 0 {
		return now, b.ledger.ReserveCopy(now, ask, a.Spare)
	}
	return b.ledger.Reserve(now, ask, b.teamWeight)
}

// admit puts a request into the queue of a prefill engine or refuses it.
// Requests that it pushes out are refused.
func (b *Book) admit(now time.Time, a EnqueueArgs) (*queue.Item, *result.Error) {
	if b.queue == nil || b.flags() != 0 {
		return nil, result.Errorf(result.NoEndpoint, "%s takes no prompts now", b.spec.Name).After(time.Second)
	}
	if refusal := b.ownTurnsFirst(now, a); refusal != nil {
		return nil, refusal
	}
	tokens, promised := b.uncached(a.Tokens, a.Head, a.HasHead)
	work, lag := b.queue.Pace.Work(tokens), b.queue.Pace.Lag()
	it := &queue.Item{Attempt: a.Attempt, Team: a.Team, Priority: a.Priority, Tokens: tokens, Work: work, Lag: lag, Promised: promised, Came: now,
		Latest: now.Add(duration(a.Slack) - work - lag), NotYet: now.Add(duration(a.NotYet)), Answer: make(chan *result.Error, 1)}
	blend(&b.leaving, 0, learnLeaving)
	if hold := b.holdBack(now, it); hold.After(it.NotYet) {
		it.NotYet = hold
	}
	pushed, refusal := b.queue.Admit(now, it)
	if refusal != nil {
		return nil, refusal
	}
	for _, p := range pushed {
		p.Answer <- result.Errorf(result.TooLate, "requests of higher rank or of teams with less use came").After(work + queue.Lookahead)
	}
	return it, nil
}

// holdBack returns the moment before which a request's prefill should not end,
// to spare work for callers that leave early, where that is minded more than
// an early answer. The fewer leave, the shorter it is.
func (b *Book) holdBack(now time.Time, it *queue.Item) time.Time {
	part := b.view.Patience() * min(1, b.leaving/manyLeave)
	return now.Add(time.Duration(part*float64(it.Latest.Sub(now))) + it.Work)
}

// manyLeave is the share of callers leaving from which prefills are held back
// in full.
const manyLeave = 0.08
