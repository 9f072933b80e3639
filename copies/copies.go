// Package copies decides which running requests get a replica of their KV cache at another engine,
// at which one, and when a silent decode engine is probed.
//
// It serves requests that aren't repeatable: without a replica to continue from, such a request is
// lost if its decode engine crashes. The functions work on a snapshot of endpoint states and a
// request: they do no I/O, take no lock and read no clock. Whether an engine has capacity for a
// replica is decided by its owner, and finally by the engine itself.
package copies

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// Policy chooses the requests that get a replica.
type Policy struct {
	// MinRisk is the risk of losing its engine from which a request gets a replica; 0: all that
	// aren't repeatable, above 1: none.
	MinRisk float64
	// Repeatable says that repeatable requests get one too.
	Repeatable bool
	// MinPoolFree is the share of the memory of a region's engines that must be free to start a
	// replica. A replica stays as long as its request runs, some seconds, and can't be canceled, so
	// memory for a burst in that time must be free at the start.
	MinPoolFree float64
}

// DefaultPolicy is the default policy.
var DefaultPolicy = Policy{MinRisk: 0.1, MinPoolFree: 0.6}

// Run is a request whose decode is about to start.
type Run struct {
	Repeatable   bool         // the request is repeatable
	PromptTokens int          // of the prompt
	AnswerTokens int          // expected tokens
	Engine       *route.State // the decode engine
}

// Wants reports whether a request gets a replica, by the risk that it loses its engine.
func (p Policy) Wants(r Run, risk float64) bool {
	return (p.Repeatable || !r.Repeatable) && risk >= p.MinRisk
}

// End describes how a call to the decode engine ended, as far as it decides whether the request
// continues from its replica.
type End struct {
	Replicated  bool // another engine was chosen to keep a replica
	CallerGone  bool
	MayHaveRun  bool // else the request can be routed again, and nothing is lost
	MayStillRun bool // the engine may still run it: it neither ended it nor is unreachable
	// DecodeTime is how long decode has run. Before the first part of the replica can have arrived
	// there is nothing to continue from. A call to continue would then only risk a second run: an
	// engine that loses the request before it looks for the replica counts as having run it.
	DecodeTime time.Duration
}

// firstPartDelay is how long decode runs until the first part of the KV cache has reached the engine
// that keeps the replica: parts are sent a few times per second.
const firstPartDelay = 250 * time.Millisecond

// CanContinue reports whether the request may continue from its replica. It may not while the first
// engine may still run it, because it would run twice at the same time.
func (e End) CanContinue() bool {
	return e.Replicated && !e.CallerGone && e.MayHaveRun && !e.MayStillRun && e.DecodeTime >= firstPartDelay
}

// HasFreeMemory reports whether the engines in the decode engine's region have enough free memory to
// start a replica.
func (p Policy) HasFreeMemory(list []*route.State, engine *route.State) bool {
	free, total := 0, 0
	for _, s := range list {
		if s.Region == engine.Region && !s.DigestAt.IsZero() && s.Digest.Flags&route.FlagDown == 0 {
			free += max(0, int(s.Digest.FreeTokens))
			total += s.Spec.MemoryTokens
		}
	}
	return float64(free) >= p.MinPoolFree*float64(total)
}

// FailureRisk returns the risk that a request loses its engine, between 0 and 1: the larger of the
// engine's recent failure rate and the mean over the pool's endpoints. Endpoints that their owners
// can't reach, or whose failure domain is cut off from this host, count as 1: an engine that goes down
// loses all its requests, and others often follow.
func FailureRisk(list []*route.State, engine *route.State, now time.Time) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range list {
		sum += failureRate(s, now)
	}
	return max(sum/float64(len(list)), failureRate(engine, now))
}

func failureRate(s *route.State, now time.Time) float64 {
	if s.Digest.Flags&route.FlagDown != 0 || now.Before(s.CutOffUntil) {
		return 1
	}
	return max(float64(s.Digest.FailPct)/100, s.Calls.FailureRate(now))
}

// reservedShare is the share of an engine's memory that stays free beside a replica, so that no
// replica is added to an engine that requests are about to fill. On engines that hold nine requests
// of typical size it is memory for about two.
const reservedShare = 0.2

// ReservedTokens returns how many tokens stay free beside a replica at an endpoint.
func ReservedTokens(e *config.Endpoint) int { return int(reservedShare * float64(e.MemoryTokens)) }

// Costs of an engine for a replica, in shares of its memory.
const (
	costSameDomain = 0.5 // same failure domain, which is often lost as a whole
	costFailing    = 2.0 // every recent attempt failed
	costOtherOwner = 0.1 // owned by another host: one more message
)

// SelectEndpoint returns the endpoint that should keep a replica of a request's KV cache; nil: no
// eligible one has capacity for it with the reserved share left. It is in the decode engine's region,
// because a transfer between regions takes ten times as long. Endpoints that are excluded for the
// request are excluded for its replica too.
func SelectEndpoint(list []*route.State, r *route.Request, run Run) (best *route.State) {
	minCost := 0.0
	source := run.Engine
	for _, s := range list {
		if s == source || s.Region != source.Region || !route.Eligible(s, r) || !s.Spec.Serves(r.Model) || !hasCapacity(s, r, run) {
			continue
		}
		if cost := replicaCost(s, source, r.Now); best == nil || cost < minCost {
			best, minCost = s, cost
		}
	}
	return best
}

// hasCapacity reports whether an endpoint is known to have memory for a replica and can take one more
// request if the answer continues there. One that is cold or names a limit might refuse that request.
func hasCapacity(s *route.State, r *route.Request, run Run) bool {
	if s.DigestAt.IsZero() || s.IsCold(r.Now) || s.IsLimited(r.Now) || s.Digest.WaitMillis > 0 || s.Calls.IsUnreachable(r.Now) || r.Now.Before(s.Calls.FullUntil) {
		return false
	}
	return int(s.Digest.FreeTokens) >= run.PromptTokens+run.AnswerTokens+ReservedTokens(s.Spec)
}

func replicaCost(s, source *route.State, now time.Time) float64 {
	cost := 1 - float64(s.Digest.FreeTokens)/float64(s.Spec.MemoryTokens)
	cost += costFailing * failureRate(s, now)
	if s.Domain == source.Domain {
		cost += costSameDomain
	}
	if !s.Owned {
		cost += costOtherOwner
	}
	return cost
}
