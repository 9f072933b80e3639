package owner

import (
	"math"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/ledger"
	"github.com/embercove/embercove/queue"
)

// learnHeads applies a page of the cache feed. After a gap the known heads may be wrong, so the
// trust in the feed is halved; it recovers as predictions prove right.
func (s *Scheduler) learnHeads(e *endpoint.CacheEvents) {
	if e.Epoch != s.feedEpoch {
		// The endpoint has restarted: the sequence number asked for was of another process.
		asked := s.feedNext
		s.cachedHeads, s.feedNext, s.feedEpoch = map[uint32]uint32{}, 0, e.Epoch
		if asked > 0 {
			return
		}
	}
	if e.First > s.feedNext && s.feedNext > 0 {
		s.feedTrust /= 2
	}
	s.feedNext = e.Next
	for _, ev := range e.Events {
		if ev.Tokens == 0 {
			delete(s.cachedHeads, ev.Head)
			continue
		}
		s.cachedHeads[ev.Head] = uint32(ev.Tokens)
	}
}

// Weights of a new observation in the learned averages.
const (
	learnFailure   = 0.2
	learnRejection = 0.1 // a refusal as not run may be due to an error of the ledger
	learnTrust     = 0.1
	learnLeaving   = 0.02
)

// blend moves an average towards an observation.
func blend(avg *float64, seen, weight float64) { *avg += weight * (seen - *avg) }

// release frees what an attempt holds and learns from its outcome. It returns the attempt's
// queue item if it was still queued.
func (s *Scheduler) release(now time.Time, r Release) *queue.Item {
	delete(s.claimedAt, r.Attempt)
	delete(s.holderGoneSince, r.Attempt)
	s.decayFailures(now)
	switch r.Outcome {
	case CallerLeft:
		blend(&s.leavingShare, 1, learnLeaving)
	case Done:
		blend(&s.failureShare, 0, learnFailure)
	case Failed:
		blend(&s.failureShare, 1, learnFailure)
	case Rejected:
		blend(&s.failureShare, 1, learnRejection)
	case Silent:
		s.recordSilence(now)
	}
	if s.ledger != nil {
		s.ledger.Release(now, ledger.End{Attempt: r.Attempt, Complete: r.Outcome == Done, Answer: r.Answer, Max: r.Max, Expected: r.Expected,
			Waited: r.Waited, Took: duration(r.Millis)})
		return nil
	}
	if s.queue == nil {
		return nil
	}
	if promised, ok := s.queue.CachedTokens(r.Attempt); ok && r.Outcome == Done {
		s.learnFeedTrust(promised, r.Cached)
	}
	s.queue.Done(now, r.Attempt, r.Outcome == Done, duration(r.Millis))
	return s.queue.Cancel(r.Attempt)
}

// failureHalfLife is the half-life of the share of failures while nothing is sent, so that an
// endpoint that requests have avoided is tried again.
const failureHalfLife = 10 * time.Second

func (s *Scheduler) decayFailures(now time.Time) {
	elapsed := now.Sub(s.failureShareAt).Seconds()
	s.failureShare *= math.Exp2(-elapsed / failureHalfLife.Seconds())
	s.silentShare *= math.Exp2(-elapsed / silenceHalfLife.Seconds())
	s.failureShareAt = now
}

const (
	// silenceHalfLife is the half-life of the share of attempts that got nothing from the endpoint in a
	// single silence: a sound endpoint may be silent for a second and go on.
	silenceHalfLife = 500 * time.Millisecond
	// singleSilence is how long a silence of an endpoint may last, from its first attempt to its last.
	singleSilence = 2 * time.Second
	// silenceMemory is how long after a silence a further one counts as a failure.
	silenceMemory = 10 * time.Second
)

// recordSilence records an attempt that got nothing from the endpoint. Silences that last or come
// again count as failures.
func (s *Scheduler) recordSilence(now time.Time) {
	if now.Sub(s.silentSince) > singleSilence+silenceMemory {
		s.silentSince = now
	}
	if now.Sub(s.silentSince) > singleSilence {
		blend(&s.failureShare, 1, learnFailure)
		return
	}
	blend(&s.silentShare, 1, learnFailure)
}

// learnFeedTrust compares the number of cached tokens that the engine found with the number
// that the feed promised for the prompt.
func (s *Scheduler) learnFeedTrust(promised, found int) {
	if promised < minDigestHeadTokens {
		return
	}
	blend(&s.feedTrust, min(1, float64(found)/float64(promised)), learnTrust)
}
