// Package route chooses the prefill and the decode engine of a request.
//
// Its functions work on a snapshot of endpoint states and a request: they do no I/O, take no lock
// and read no clock. They only choose which endpoint to try. Whether the chosen endpoint takes the
// request is decided by its owner, and finally by the endpoint itself.
package route

import (
	"math"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
)

// Flags of a digest.
const (
	FlagDown       = 1 << iota // the owner can't reach the endpoint
	FlagLeaving                // the endpoint is leaving
	FlagWrongState             // not in the ordered state
	FlagCold                   // cold, as far as the owner knows
)

// HeadDigest holds how many tokens an endpoint has cached of prompts that begin with a block.
type HeadDigest struct {
	Head   uint32 // hash of the block
	Tokens uint32
}

// Digest is the summary of an endpoint that its owner sends to other hosts. Times are in ms,
// sizes in tokens. It holds ages instead of instants because clocks differ.
type Digest struct {
	Number      uint32
	AgeMillis   uint32
	QueueMillis uint32 // prefill: work queued before a new request
	FreeTokens  int32  // decode: memory that is neither used nor reserved
	FreeSlots   int32
	WaitMillis  uint32 // decode: until there is capacity for a request of typical size
	LinkMillis  uint32 // decode: until the link into it is free
	SlowPct     uint16 // time per token relative to the configured one; 0 means 100
	LagMillis   uint32 // prefill: fixed time of a call besides that of its tokens
	FailPct     uint8  // share of recent attempts that failed
	Flags       uint8
	TrustPct    uint8 // how reliable Heads proved to be
	Heads       []HeadDigest
}

// State is an endpoint as one host sees it: its configuration, the last digest and the outcomes of
// this host's calls.
type State struct {
	Number           uint32
	Domain           int            // index of its failure domain in the configuration's list
	Region           config.Regions // as a set of one
	Role             config.Role
	Spec             *config.Endpoint
	Leaving          bool            // by the configuration
	Evacuated        bool            // its failure domain is being evacuated
	UnconfirmedUntil time.Time       // until when its registration may be one restored from an old copy of the store
	CutOffUntil      time.Time       // until when its failure domain counts as cut off from this host
	NoPathUntil      time.Time       // until when neither this host nor another one that it asked reaches it
	ColdUntil        time.Time       // until when it is cold by its registration
	MaybeColdUntil   time.Time       // until when it may be cold though its registration doesn't say so
	NoPermitUntil    time.Time       // before which its owner gives out no start permit
	RetryAt          time.Time       // when a caller that got no start permit should come back
	Limit            pace.LimitState // on requests per second
	LimitedUntil     time.Time       // until when it costs more because it names a limit
	LimitReportedAt  time.Time       // when a changed limit was last reported to its owner, by package clock
	LimitAnnouncedAt time.Time       // when other hosts were last notified that it names a limit, or no longer one, by package clock
	Notices          *Notices        // what its responses to this host announced; nil: nothing
	Digest           Digest
	DigestAt         time.Time // when the digest was made; zero: no digest
	Owned            bool      // this host owns it: asking it needs no message
	InFlight         int       // requests from this host in flight
	Connections      int       // that the endpoint accepts from all hosts together; 0: unlimited
	Calls            CallStats
}

// Number returns the number that identifies an endpoint in messages. It is derived from the name.
func Number(name string) uint32 { return config.NameNumber(name) }

// IsLeaving reports whether the endpoint is leaving, by its registration, its owner's digest or its
// responses to this host.
func (s *State) IsLeaving() bool {
	return s.Leaving || s.Digest.Flags&FlagLeaving != 0 || s.Notices != nil && s.Notices.Leaving
}

// IsBackingOff reports whether this host backs off from the endpoint now.
func (s *State) IsBackingOff(now time.Time) bool { return s.Notices.isBackingOff(now) }

// Age returns the age of the last digest; below 0: there is none.
func (s *State) Age(now time.Time) time.Duration {
	if s.DigestAt.IsZero() {
		return -1
	}
	return now.Sub(s.DigestAt)
}

// SlowFactor returns the learned factor on the endpoint's configured times.
func (s *State) SlowFactor() float64 {
	if s.Digest.SlowPct == 0 {
		return 1
	}
	return float64(s.Digest.SlowPct) / 100
}

// CallStats sums up the outcomes of this host's own calls to an endpoint. Older calls count less.
type CallStats struct {
	FailedShare            float64   // decaying share of failed calls, as of LastCall
	LastCall               time.Time // of the last call
	UnreachableUntil       time.Time // until when it counts as unreachable
	ConsecutiveUnreachable int       // consecutive calls that didn't reach it
	FullUntil              time.Time // until when it counts as full
	MeanSeconds            float64   // average seconds of a call
	LateAt                 time.Time // when an answer last came far later than usual
	wasLate                bool      // the last answer did
}

// Times and weights of CallStats. Each further call that doesn't reach the endpoint doubles
// firstUnreachable, up to maxUnreachable.
const (
	failureWeight    = 0.25
	tookWeight       = 0.1
	failureHalfLife  = 5 * time.Second // the share of failures halves in this time
	firstUnreachable = 500 * time.Millisecond
	maxUnreachable   = 4 * time.Second
	fullFor          = 60 * time.Millisecond
)

// CallOutcome is the outcome of one call to an endpoint.
type CallOutcome uint8

// The outcomes of a call.
const (
	OutcomeCompleted   CallOutcome = iota // it answered
	OutcomeFailed                         // it failed or aborted its answer
	OutcomeFull                           // it refused for lack of capacity
	OutcomeUnreachable                    // it was unreachable, or another endpoint has its address
)

// Record records the outcome of one call.
func (x *CallStats) Record(now time.Time, s CallOutcome, took time.Duration) {
	x.FailedShare, x.LastCall = x.FailureRate(now), now
	switch s {
	case OutcomeCompleted:
		x.FailedShare -= failureWeight * x.FailedShare
		x.ConsecutiveUnreachable, x.UnreachableUntil = 0, time.Time{}
		x.learnTime(now, took)
	case OutcomeFailed:
		x.FailedShare += failureWeight * (1 - x.FailedShare)
	case OutcomeFull:
		x.FullUntil = now.Add(fullFor)
	case OutcomeUnreachable:
		if x.IsUnreachable(now) {
			return // a call that was made before that was known
		}
		x.UnreachableUntil = now.Add(min(firstUnreachable<<min(x.ConsecutiveUnreachable, 8), maxUnreachable))
		x.ConsecutiveUnreachable++
	}
}

// An answer is late if it takes this many times as long as usual, and at least minLate.
const (
	lateRatio = 4
	minLate   = 500 * time.Millisecond
)

// learnTime learns from the time of a call. A late answer may come from a pause of the endpoint, which
// delays all calls in progress at the time: it counts for lateRatio usual calls, and the others for
// none. A further late answer counts in full.
func (x *CallStats) learnTime(now time.Time, took time.Duration) {
	seconds := took.Seconds()
	if x.MeanSeconds == 0 {
		x.MeanSeconds = seconds
	}
	late := took >= minLate && seconds > lateRatio*x.MeanSeconds
	switch {
	case late && now.Add(-took).Before(x.LateAt):
		return // it was in progress at the last late answer
	case late && !x.wasLate:
		seconds = lateRatio * x.MeanSeconds
	}
	if late {
		x.LateAt = now
	}
	x.wasLate = late
	x.MeanSeconds += tookWeight * (seconds - x.MeanSeconds)
}

// FailureRate returns the share of calls that failed recently.
func (x *CallStats) FailureRate(now time.Time) float64 {
	if x.LastCall.IsZero() {
		return 0
	}
	return x.FailedShare * math.Exp2(-now.Sub(x.LastCall).Seconds()/failureHalfLife.Seconds())
}

// HasCapacity reports whether an endpoint can take another request, as far as this host knows.
func (s *State) HasCapacity(now time.Time) bool {
	if s.IsLimited(now) || s.IsCold(now) || s.Calls.IsUnreachable(now) || now.Before(s.Calls.FullUntil) {
		return false
	}
	return s.Role != config.Decode || s.DigestAt.IsZero() || s.Digest.FreeSlots > 0
}

// IsUnreachable reports whether the endpoint counts as unreachable.
func (x *CallStats) IsUnreachable(now time.Time) bool { return now.Before(x.UnreachableUntil) }

// Uncached returns how many of the prompt's tokens the endpoint has to prefill. Cache events come
// late and with gaps, so the cached part is weighted by how reliable they proved to be.
func (s *State) Uncached(tokens int, head uint32, hasHead bool) int {
	if !hasHead {
		return tokens
	}
	for _, h := range s.Digest.Heads {
		if h.Head == head {
			hit := min(int(h.Tokens), tokens) * int(s.Digest.TrustPct) / 100
			return max(1, tokens-hit)
		}
	}
	return tokens
}

// PrefillTime returns the time to prefill the tokens, without queueing.
func (s *State) PrefillTime(tokens int) time.Duration {
	return time.Duration(s.Digest.LagMillis)*time.Millisecond + time.Duration(float64(tokens)/s.Spec.TokensPerSecond*s.SlowFactor()*float64(time.Second))
}

// StepTime returns the duration of a decode step with n requests in the batch.
func StepTime(e *config.Endpoint, n int) time.Duration {
	return time.Duration(e.StepMicros+max(0, n-1)*e.StepMicrosEach) * time.Microsecond
}

// BatchLimit returns the largest batch whose decode step meets the target, at most the slots.
func BatchLimit(e *config.Endpoint, tpot time.Duration) int {
	if e.StepMicrosEach <= 0 {
		return e.Slots
	}
	n := 1 + (int(tpot.Microseconds())-e.StepMicros)/e.StepMicrosEach
	return max(1, min(n, e.Slots))
}

// maxLinkTime bounds the forecast of a transfer.
const maxLinkTime = 24 * time.Hour

// LinkTime returns the time to send bytes over the link into the endpoint.
func LinkTime(e *config.Endpoint, bytes int64) time.Duration {
	seconds := float64(bytes) / float64(max(1, e.LinkBytesPerSecond))
	return time.Duration(min(seconds, maxLinkTime.Seconds()) * float64(time.Second))
}
