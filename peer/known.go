package peer

import (
	"context"
	"maps"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/internal/wait"
)

// A host that has just started knows no failure marks, and would send what all others hold back. So its first exchanges show
// whether it lacks any, it fetches them, and requests wait for that. Exchanges say whether their sender has just started
// itself: hosts that start together have nothing to fetch, and would only fill the links of those that all of them ask.

const (
	// learningPollInterval is how often a host looks whether it is done.
	learningPollInterval = 5 * time.Millisecond
	// aloneAfter is how long after its start a host goes on by itself that knows no other one, or only some that have just
	// started as well.
	aloneAfter = time.Second
	// unansweredAfter is the same for a host whose others don't answer.
	unansweredAfter = 3 * time.Second
	// maxLearning is how many others that have just started themselves are met: all have, as far as it seems.
	maxLearning = 3
)

// MarksKnown reports whether this host has the failure marks of another host, or does without.
func (r *Router) MarksKnown() bool { return r.marksKnown.Load() }

// LearnMarks returns once this host has the failure marks of another one after its start, or nobody has any to tell.
func (r *Router) LearnMarks(ctx context.Context) {
	defer r.marksKnown.Store(true)
	for !r.MarksKnown() && r.mayLearnMarks() {
		if !wait.For(ctx, learningPollInterval) {
			return
		}
	}
}

// mayLearnMarks reports whether another host may still tell its marks.
func (r *Router) mayLearnMarks() bool {
	r.mu.Lock()
	learning := maps.Clone(r.learning)
	r.mu.Unlock()
	others := r.otherHosts(time.Now(), func(h *blackboard.Host) bool { return !learning[h.Peers] })
	switch {
	case len(learning) >= maxLearning, r.uptime() >= unansweredAfter:
		return false
	case len(others) == 0 && len(learning) > 0:
		return false
	}
	return r.uptime() < aloneAfter || len(others) > 0 && len(learning) == 0
}

// noteMarks records what a message of another host shows of failure marks, as long as this host doesn't know those of others.
func (r *Router) noteMarks(ctx context.Context, h blackboard.Host, sum uint64, learning bool) {
	switch {
	case r.MarksKnown():
	case learning:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.learning[h.Peers] = true
	case sum == r.marksHash() || r.fetchMarks(ctx, h):
		r.marksKnown.Store(true)
	}
}

// fetchMarks fetches the marks of a host, and reports whether it got them.
func (r *Router) fetchMarks(ctx context.Context, h blackboard.Host) bool {
	reply, err := r.callMarks(ctx, h, &MarksArgs{Answer: true})
	if err != nil {
		return false
	}
	r.learnMarks(reply.Rows)
	r.learnParts(reply.Parts)
	return true
}
