// Package copies decides which answers get a copy of their memory at another
// engine, at which one, and when an engine that writes is asked whether it lives.
//
// It answers the load of answers that may not be read again: such an answer ends
// with the engine that writes it, unless another has a copy to go on from. Its
// functions are pure: they see a snapshot of states and a request, do no I/O, take
// no lock and read no clock. Whether an engine has room for a copy is its owner's
// decision, and in the end its own.
package copies

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// Policy is a way to choose the answers that get a copy.
type Policy struct {
	// LeastChance is the chance of losing its engine from which an answer gets a
	// copy; 0: all that may not be read again, above 1: none.
	LeastChance float64
	// Again says that answers which may be read again get one too.
	Again bool
	// PoolSpare is the share of the memory of a region's engines that has to be free
	// for a copy to be begun. A copy that is begun stays as long as its answer, some
	// seconds, and can't be called off: what a burst needs then has to be free now.
	PoolSpare float64
}

// Standing is the policy in force.
var Standing = Policy{LeastChance: 0.1, PoolSpare: 0.6}

// Run is an answer that is about to be written.
type Run struct {
	Again  bool         // it may be read again
	Tokens int          // of the prompt
	Answer int          // tokens that it is expected to come to
	Engine *route.State // the engine that will write it
}

// Wants reports whether an answer gets a copy, by the chance that it loses its engine.
func (p Policy) Wants(r Run, chance float64) bool {
	return (p.Again || !r.Again) && chance >= p.LeastChance
}

// End is how a call to the engine that writes ended, as far as it decides whether the
// answer goes on from its copy.
type End struct {
	Copied     bool // another engine was to keep a copy
	CallerGone bool
	MayHaveRun bool // else the request is placed anew, and nothing is lost
	Works      bool // the engine may still work on it: it neither ended it nor is out of reach
	// Grown is how long the answer has been written. Before a first part can have
	// arrived there is nothing to go on from, and an engine that loses what it is sent
	// before it looks for the copy runs the request a second time.
	Grown time.Duration
}

// FirstPart is how long an answer is written until a first part of its memory has come
// to where its copy is kept: parts are sent some times a second.
const FirstPart = 250 * time.Millisecond

// GoesOn reports whether the answer may go on from its copy. While the first engine may
// work on it, it may not: the request would run twice at once.
func (e End) GoesOn() bool {
	return e.Copied && !e.CallerGone && e.MayHaveRun && !e.Works && e.Grown >= FirstPart
}

// Affords reports whether the engines of the region of the one that writes have so much
// memory free that a copy may be begun.
func (p Policy) Affords(list []*route.State, engine *route.State) bool {
	free, all := 0, 0
	for _, s := range list {
		if s.Region == engine.Region && !s.At.IsZero() && s.Digest.Flags&route.FlagDown == 0 {
			free += max(0, int(s.Digest.FreeTokens))
			all += s.Spec.MemoryTokens
		}
	}
	return float64(free) >= p.PoolSpare*float64(all)
}

// Chance returns the chance that an answer loses its engine, between 0 and 1: the
// share of calls that a pool's endpoints failed lately, or that of the engine itself
// where it is larger. Endpoints that are out of reach of their owners count in full: an
// engine that went down took all its answers along, and others often follow it.
func Chance(list []*route.State, engine *route.State, now time.Time) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range list {
		sum += failing(s, now)
	}
	return max(sum/float64(len(list)), failing(engine, now))
}

func failing(s *route.State, now time.Time) float64 {
	if s.Digest.Flags&route.FlagDown != 0 || now.Before(s.CutOff) {
		return 1
	}
	return max(float64(s.Digest.FailPct)/100, s.Seen.Failing(now))
}

// SpareShare is the part of an engine's memory that stays free beside a copy, so that
// copies give way to requests before they meet a full engine: two requests of a usual
// size of the engines that hold nine.
const SpareShare = 0.2

// Spare returns the tokens that stay free beside a copy at an endpoint.
func Spare(e *config.Endpoint) int { return int(SpareShare * float64(e.MemoryTokens)) }

// Costs of a place for a copy, in shares of an engine's memory.
const (
	costSameDomain = 0.5 // a failure domain is often lost as a whole
	costFailing    = 2.0 // every recent attempt failed
	costOtherOwner = 0.1 // a message to another host
)

// Place returns the endpoint that is to keep a copy of an answer's
// memory; nil: none is open that has room for it and for others besides. It lies in
// the region of the engine that writes: between regions a move takes ten times as
// long. The request's bars hold for a copy as they do for a run.
func Place(list []*route.State, q *route.Request, r Run) (best *route.State) {
	least := 0.0
	from := r.Engine
	for _, s := range list {
		if s == from || s.Region != from.Region || !route.Open(s, q) || !s.Spec.Serves(q.Model) || !holds(s, q, r) {
			continue
		}
		if cost := placeCost(s, from, q.Now); best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

// holds reports whether an endpoint is known to have room for a copy, and bears a request
// more when the answer goes on there: one that is cold or names a limit may not.
func holds(s *route.State, q *route.Request, r Run) bool {
	if s.At.IsZero() || s.Cold(q.Now) || s.Limited(q.Now) || s.Digest.WaitMillis > 0 || s.Seen.Shunned(q.Now) || q.Now.Before(s.Seen.Full) {
		return false
	}
	return int(s.Digest.FreeTokens) >= r.Tokens+r.Answer+Spare(s.Spec)
}

func placeCost(s, from *route.State, now time.Time) float64 {
	cost := 1 - float64(s.Digest.FreeTokens)/float64(s.Spec.MemoryTokens)
	cost += costFailing * failing(s, now)
	if s.Domain == from.Domain {
		cost += costSameDomain
	}
	if !s.Own {
		cost += costOtherOwner
	}
	return cost
}
