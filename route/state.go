// Package route chooses the endpoints of a request: which prefill engine
// reads the prompt and which decode engine writes the answer.
//
// Its functions are pure: they see a snapshot of states and a request, do no
// I/O, take no lock and read no clock. They choose where to ask; whether the
// chosen endpoint takes the request is its owner's decision, and in the end
// its own.
package route

import (
	"math"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
)

// Flags of a digest.
const (
	FlagDown    = 1 << iota // the owner can't reach the endpoint
	FlagLeaving             // the endpoint is leaving
	FlagWrong               // not in the state that was ordered
	FlagCold                // cold by what its owner knows
)

// HeadDigest tells how many tokens an endpoint has cached of prompts that
// begin with a block.
type HeadDigest struct {
	Head   uint32
	Tokens uint32
}

// Digest is what an endpoint's owner tells others of it. Times are in ms,
// sizes in tokens; ages instead of moments, because clocks differ.
type Digest struct {
	Number      uint32
	AgeMillis   uint32
	QueueMillis uint32 // prefill: work queued before a new request
	FreeTokens  int32  // decode: memory that is neither held nor reserved
	FreeSlots   int32
	WaitMillis  uint32 // decode: until a request of the usual size has room
	LinkMillis  uint32 // decode: until the link into it is free
	SlowPct     uint16 // time of a token against the configured; 0 stands for 100
	LagMillis   uint32 // prefill: time of a call beyond that of its tokens
	FailPct     uint8  // share of recent attempts that failed
	Flags       uint8
	TrustPct    uint8 // how far Heads proved true
	Heads       []HeadDigest
}

// State is an endpoint as one host sees it: its configuration and the last
// digest.
type State struct {
	Number       uint32
	Domain       int            // index in the configuration's list
	Region       config.Regions // the one that it lies in
	Role         config.Role
	Spec         *config.Endpoint
	Leaving      bool        // by the configuration
	Evacuated    bool        // its failure domain is being emptied
	Doubted      time.Time   // until when its registration may be one that a copy of the store brought back
	CutOff       time.Time   // until when its failure domain counts as cut off from this host
	ColdUntil    time.Time   // until when it is cold by its registration
	MaybeCold    time.Time   // until when it may be though its registration doesn't say so
	NoStart      time.Time   // before which its owner gives out no start
	Back         time.Time   // when a caller that has no start there is to come back
	Limit        pace.Belief // of how many requests a second it takes
	LimitedUntil time.Time   // until when it is the dearer choice as it names a limit
	LimitTold    time.Time   // when its owner was last told that it names another limit, by package clock
	LimitNews    time.Time   // when hosts were last told that it names a limit, or none any more, by package clock
	Notices      *Notices    // what its answers said of it to this host; nil: nothing
	Digest       Digest
	At           time.Time // when the digest was true; zero: never heard of
	Own          bool      // this host owns it: to ask it costs no message
	Sent         int       // sent by this host and not ended
	Connections  int       // that the endpoint takes from all hosts together; 0: any number
	Seen         Experience
}

// Number returns the number that stands for an endpoint's name in messages.
func Number(name string) uint32 { return config.NameNumber(name) }

// IsLeaving reports whether the endpoint leaves, by what is registered, by its owner, or by its
// answers to this host.
func (s *State) IsLeaving() bool {
	return s.Leaving || s.Digest.Flags&FlagLeaving != 0 || s.Notices != nil && s.Notices.Leaving
}

// IsResting reports whether the endpoint wants no request of this host now.
func (s *State) IsResting(now time.Time) bool { return s.Notices.isResting(now) }

// Age returns how old the last digest is; below 0: there is none.
func (s *State) Age(now time.Time) time.Duration {
	if s.At.IsZero() {
		return -1
	}
	return now.Sub(s.At)
}

// Slow returns the learned factor on the endpoint's time of work.
func (s *State) Slow() float64 {
	if s.Digest.SlowPct == 0 {
		return 1
	}
	return float64(s.Digest.SlowPct) / 100
}

// Experience is what this host itself saw of an endpoint. It fades: what is
// old says little.
type Experience struct {
	Failed float64   // share of calls that failed lately, as of At
	At     time.Time // of the last call
	Shun   time.Time // until when it counts as out of reach
	Misses int       // calls in a row that reached nothing
	Full   time.Time // until when it counts as full
	Took   float64   // seconds of a call, an average
}

// Times and weights of what is seen of an endpoint.
const (
	failureWeight = 0.25
	tookWeight    = 0.1
	failureHalf   = 5 * time.Second // after which a share of failures is worth half
	shunFirst     = 500 * time.Millisecond
	shunMost      = 4 * time.Second
	fullFor       = 60 * time.Millisecond
)

// Sight is what one call showed of an endpoint.
type Sight uint8

// The sights.
const (
	SightWhole  Sight = iota // it answered
	SightFailed              // it failed or broke its answer off
	SightFull                // it refused for lack of room
	SightGone                // it could not be reached, or another has its address
)

// Note takes in one call.
func (x *Experience) Note(now time.Time, s Sight, took time.Duration) {
	x.Failed, x.At = x.Failing(now), now
	switch s {
	case SightWhole:
		x.Failed -= failureWeight * x.Failed
		x.Misses, x.Shun = 0, time.Time{}
		if x.Took == 0 {
			x.Took = took.Seconds()
		}
		x.Took += tookWeight * (took.Seconds() - x.Took)
	case SightFailed:
		x.Failed += failureWeight * (1 - x.Failed)
	case SightFull:
		x.Full = now.Add(fullFor)
	case SightGone:
		x.Shun = now.Add(min(shunFirst<<min(x.Misses, 8), shunMost))
		x.Misses++
	}
}

// Failing returns the share of calls that failed lately.
func (x *Experience) Failing(now time.Time) float64 {
	if x.At.IsZero() {
		return 0
	}
	return x.Failed * math.Exp2(-now.Sub(x.At).Seconds()/failureHalf.Seconds())
}

// Free reports whether an endpoint can take a request more, by what this host knows.
func (s *State) Free(now time.Time) bool {
	if s.Limited(now) || s.Cold(now) || s.Seen.Shunned(now) || now.Before(s.Seen.Full) {
		return false
	}
	return s.Role != config.Decode || s.At.IsZero() || s.Digest.FreeSlots > 0
}

// Shunned reports whether the endpoint counts as out of reach.
func (x *Experience) Shunned(now time.Time) bool { return now.Before(x.Shun) }

// Uncached returns how many of the prompt's tokens the endpoint will have to
// read. Cache events come late and with gaps, so the cached part counts only
// as far as the feed proved true.
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

// PrefillTime returns the time that reading the tokens takes, without
// waiting.
func (s *State) PrefillTime(tokens int) time.Duration {
	return time.Duration(s.Digest.LagMillis)*time.Millisecond + time.Duration(float64(tokens)/s.Spec.TokensPerSecond*s.Slow()*float64(time.Second))
}

// StepTime returns the time of a decode step with n requests in the batch.
func StepTime(e *config.Endpoint, n int) time.Duration {
	return time.Duration(e.StepMicros+max(0, n-1)*e.StepMicrosEach) * time.Microsecond
}

// BatchLimit returns how many requests may share a batch before a step takes
// longer than the target, and no more than the slots.
func BatchLimit(e *config.Endpoint, tpot time.Duration) int {
	if e.StepMicrosEach <= 0 {
		return e.Slots
	}
	n := 1 + (int(tpot.Microseconds())-e.StepMicros)/e.StepMicrosEach
	return max(1, min(n, e.Slots))
}

// LinkTime returns the time that bytes take on the link into the endpoint.
func LinkTime(e *config.Endpoint, bytes int64) time.Duration {
	return time.Duration(float64(bytes) / float64(e.LinkBytesPerSecond) * float64(time.Second))
}
