package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/internal/wait"
)

// When a store is called, and how long a watch waits.

// A waiting watch counts as one call. Waits are short, because a watch stays silent if its answer
// was lost, or if the store dropped its history and cut the watch, and that may happen to all
// hosts at the same time.
const (
	eagerWait         = 2 * time.Second
	lazyWait          = 8 * time.Second        // on hosts that aren't eager, if the bound is unknown
	relyCheckInterval = 250 * time.Millisecond // between checks whether others still report what the store holds
	pauseAfterListing = 500 * time.Millisecond // in which other hosts get to know this one and send it changes
	lostWait          = 200 * time.Millisecond // after a failed call: a call that hangs while the store returns delays the changes made meanwhile
	burstPause        = 120 * time.Millisecond // after a change, since changes come in bursts
	defaultLazyPause  = time.Second            // the same on hosts that aren't eager, if the bound is unknown
	lazyPauseShare    = 0.7                    // of the time within which a change has to take effect: the rest allows for a lost answer
	// maxAgeShare is how long a host may go without an answer of the store, as a share of the
	// bound within which a change has to take effect. A watch that has gone silent is abandoned
	// after that time plus WatchSilence, and the next watch gets its answer over a new
	// connection. All of that has to fit into the grace period after such an event, which is one
	// second longer than the bound. If a host pauses after a change, its next watch is shorter by
	// as much.
	maxAgeShare = 0.9
	// eagerWaitShare is the share of the bound after which an eager host gets an answer of the
	// store even if nothing changes, and reports it to its failure domain. From the missing
	// reports the others notice that nobody reaches the store any more. With a wait of two
	// seconds, after all eager hosts were stopped, the others asked the store only after 2.2 s,
	// and a large document came too late.
	eagerWaitShare = 1.0 / 3
	// minHoldDivisor sets the minimum wait of a watch, as a part of the maximum: while the store
	// is unreachable many hosts call it, and each call counts.
	minHoldDivisor = 3
	minRetry       = 100 * time.Millisecond
	maxRetry       = 800 * time.Millisecond
	retryJitter    = 0.3
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// holdTime returns how long the next watch may wait: until what this host knows reaches its
// maximum age.
func (f *Follower) holdTime(sink Sink, eager bool) time.Duration {
	if eager && f.storeLost {
		return lostWait
	}
	maxHold := f.maxHold
	if eager {
		maxHold = min(maxHold, f.eagerHold)
	}
	age, ever := sink.ConfirmedAge()
	if !ever {
		return maxHold
	}
	return max(f.maxHold/minHoldDivisor, min(maxHold, f.maxHold-age))
}

// pauseWhileRelying pauses briefly if other hosts keep this one up to date, and reports whether
// they do. If every host had a watch, the store would answer each of them for each change; a few
// watching hosts need only a small part of those calls.
func (f *Follower) pauseWhileRelying(ctx context.Context, sink Sink) bool {
	relies := sink.ReliesOnPeers() && !sink.Eager()
	f.logRelying(relies)
	if relies {
		wait.For(ctx, relyCheckInterval)
	}
	return relies
}

// logRelying logs when other hosts begin or cease to keep this one up to date.
func (f *Follower) logRelying(relies bool) {
	if relies == f.relies {
		return
	}
	f.relies = relies
	if relies {
		f.log.Info("kept up to date by other hosts", zap.Stringer("at", f.at))
	} else {
		f.log.Info("asks the store itself", zap.Stringer("at", f.at))
	}
}

// pauseAfterChange returns how long to pause after a change. A host that isn't eager leaves time
// for the next answer, which may bring a document over a narrow link.
func (f *Follower) pauseAfterChange(eager bool) time.Duration {
	if eager {
		return burstPause
	}
	return max(burstPause, f.lazyPause-f.lastTook)
}

// jitter varies d randomly by up to retryJitter in both directions, so that the hosts of a fleet
// that was cut off don't all return at once.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
}
