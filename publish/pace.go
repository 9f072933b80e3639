package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/internal/wait"
)

// When a store is asked, and for how long a watch waits.

// A waiting watch counts as one call. It is short, because a watch whose answer was lost, or that a store cut when it dropped
// its history, says nothing more, and that may happen to all hosts at the same time.
const (
	followWait = 2 * time.Second
	lazyWait   = 8 * time.Second        // of hosts that aren't eager, where no bound is known
	relyTick   = 250 * time.Millisecond // between looks whether others still tell what the store holds
	listedRest = 500 * time.Millisecond // after a listing, in which other hosts get to know this one and tell it what changes
	lostWait   = 200 * time.Millisecond // after a call that failed: one that hangs as the store returns holds up what changed meanwhile
	gatherFor  = 120 * time.Millisecond // after a change, as changes come in bursts
	lazyGather = time.Second            // the same of hosts that aren't eager, where no bound is known
	lazyShare  = 0.7                    // of the bound in which a change has to be in force: the rest is for an answer that is lost
	// unheardShare is how long a host may hear nothing of the store, as a share of the
	// bound in which a change has to be in force. A watch that says nothing for good is
	// given up after so long and WatchSilence, and its successor's answer comes over a new
	// connection: all that within the time after such an event in which hosts aren't yet
	// held to the bound, which is longer than the bound by a second. Where a host rests
	// after a change, its next watch is the shorter for it.
	unheardShare = 0.9
	// followShare is the part of the bound after which an eager host hears of the store
	// also where nothing changes, and tells its failure domain. By that the others notice
	// that nobody hears of it any more: where all eager hosts were stopped, others asked
	// after 2.2 s with a wait of two seconds, and a large document came too late.
	followShare = 1.0 / 3
	// leastHold is the part of it that a watch waits at the least: many hosts ask while
	// the store is out of reach, and each call counts.
	leastHold   = 3
	retryFirst  = 100 * time.Millisecond
	retryMost   = 800 * time.Millisecond
	retryJitter = 0.3
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hold returns how long the next watch may wait: until what this host knows is as old as
// it may become.
func (f *Follower) hold(sink Sink, eager bool) time.Duration {
	if eager && f.lost {
		return lostWait
	}
	most := f.most
	if eager {
		most = min(most, f.follow)
	}
	age, ever := sink.HeardFor()
	if !ever {
		return most
	}
	return max(f.most/leastHold, min(most, f.most-age))
}

// rest waits a little where other hosts keep this one up to date, and reports whether
// they do. A watch of each host is answered for each change, and a few watching hosts need a
// small part of those calls.
func (f *Follower) rest(ctx context.Context, sink Sink) bool {
	relies := sink.Relies() && !sink.Eager()
	f.noteRelying(relies)
	if relies {
		wait.For(ctx, relyTick)
	}
	return relies
}

// noteRelying logs when other hosts begin or cease to keep this one up to date.
func (f *Follower) noteRelying(relies bool) {
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

// pause returns how long to rest after a change. A host that isn't eager leaves
// time for the next answer, which may bring a document over a narrow link.
func (f *Follower) pause(eager bool) time.Duration {
	if eager {
		return gatherFor
	}
	return max(gatherFor, f.gather-f.took)
}

// spread moves d by retryJitter to both sides, so that a fleet that was cut
// off doesn't come back all at once.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
}
