package owner

import (
	"context"
	"sync"
	"time"
)

// Decode endpoints cache prompts and answers until the memory is needed. An answer that was
// interrupted by anything but its endpoint can continue there without another prefill. This is
// rare, so the cache feed of decode endpoints is only read on demand.

// maxFeedAge is the maximum age of what is known of an endpoint's cache. Many requests may ask
// within the same second when many answers are interrupted together, as by a restart.
const maxFeedAge = 300 * time.Millisecond

// Kept returns how many tokens of a prompt are cached by decode endpoints that this host owns.
func (o *Owner) Kept(ctx context.Context, a KeptArgs) KeptReply {
	reply := KeptReply{Tokens: make([]uint32, len(a.Endpoints))}
	var wg sync.WaitGroup
	for i, n := range a.Endpoints {
		wg.Go(func() { reply.Tokens[i] = o.cachedTokens(ctx, n, a.Head) })
	}
	wg.Wait()
	return reply
}

// cachedTokens returns how many tokens of a prompt an endpoint has cached; 0 if unknown.
func (o *Owner) cachedTokens(ctx context.Context, number, head uint32) uint32 {
	sched, err := o.scheduler(ctx, number)
	if err != nil || sched.ledger == nil {
		return 0
	}
	sched.mu.Lock()
	old := time.Since(sched.feedReadAt) > maxFeedAge
	sched.mu.Unlock()
	if old {
		o.pollFeed(ctx, sched)
	}
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.cachedHeads[head]
}
