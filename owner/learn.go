package owner

import (
	"math"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/ledger"
	"github.com/embercove/embercove/queue"
)

// learnHeads takes in a stretch of the cache feed. A gap means that what is
// known may be wrong, so it is trusted less until it proves true again.
func (b *Book) learnHeads(e *endpoint.CacheEvents) {
	if e.Epoch != b.epoch {
		// The endpoint has restarted: what was asked for was asked of another.
		asked := b.feed
		b.heads, b.feed, b.epoch = map[uint32]uint32{}, 0, e.Epoch
		if asked > 0 {
			return
		}
	}
	if e.First > b.feed && b.feed > 0 {
		b.trust /= 2
	}
	b.feed = e.Next
	for _, ev := range e.Events {
		if ev.Tokens == 0 {
			delete(b.heads, ev.Head)
			continue
		}
		b.heads[ev.Head] = uint32(ev.Tokens)
	}
}

// Weights of a new observation in the learned averages.
const (
	learnFailure   = 0.2
	learnRejection = 0.1 // a vouched refusal may be the ledger's own mistake
	learnTrust     = 0.1
	learnLeaving   = 0.02
)

// blend moves an average towards an observation.
func blend(avg *float64, seen, weight float64) { *avg += weight * (seen - *avg) }

// release ends what an attempt holds and learns from how it went.
func (b *Book) release(now time.Time, r Release) *queue.Item {
	delete(b.confirmed, r.Attempt)
	delete(b.gone, r.Attempt)
	b.fadeFailures(now)
	switch r.Outcome {
	case Left:
		blend(&b.leaving, 1, learnLeaving)
	case Done:
		blend(&b.failed, 0, learnFailure)
	case Failed:
		blend(&b.failed, 1, learnFailure)
	case Rejected:
		blend(&b.failed, 1, learnRejection)
	}
	if b.ledger != nil {
		b.ledger.Release(now, ledger.End{Attempt: r.Attempt, Whole: r.Outcome == Done, Answer: r.Answer, Max: r.Max, Expected: r.Expected,
			Waited: r.Waited, Took: duration(r.Millis)})
		return nil
	}
	if b.queue == nil {
		return nil
	}
	if promised, ok := b.queue.Promised(r.Attempt); ok && r.Outcome == Done {
		b.learnTrustFrom(promised, r.Cached)
	}
	b.queue.Done(now, r.Attempt, r.Outcome == Done, duration(r.Millis))
	return b.queue.Cancel(r.Attempt)
}

// forgiveAfter is the time in which the share of failures halves when nothing
// is sent, so that an endpoint that was left is tried again.
const forgiveAfter = 10 * time.Second

func (b *Book) fadeFailures(now time.Time) {
	b.failed *= math.Exp2(-now.Sub(b.failedAt).Seconds() / forgiveAfter.Seconds())
	b.failedAt = now
}

// learnTrustFrom compares the cached tokens that the engine found with what
// the feed had promised for the prompt.
func (b *Book) learnTrustFrom(promised, found int) {
	if promised < minHead {
		return
	}
	blend(&b.trust, min(1, float64(found)/float64(promised)), learnTrust)
}
