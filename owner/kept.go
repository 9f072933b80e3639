package owner

import (
	"context"
	"sync"
	"time"
)

// Decode endpoints keep what they have held until others need the room. An answer
// that was broken off by anything but its endpoint goes on there without its
// prompt being read again. That is rare, so the feed of what an endpoint keeps is
// read when it is asked for.

// keptFresh is how old what is known of an endpoint's cache may be. After a
// common restart many ask within the same second.
const keptFresh = 300 * time.Millisecond

// Kept answers how many tokens of a prompt are kept by decode endpoints that this
// host owns.
func (o *Owner) Kept(ctx context.Context, a KeptArgs) KeptReply {
	reply := KeptReply{Tokens: make([]uint32, len(a.Endpoints))}
	var wg sync.WaitGroup
	for i, n := range a.Endpoints {
		wg.Go(func() { reply.Tokens[i] = o.keptAt(ctx, n, a.Head) })
	}
	wg.Wait()
	return reply
}

// keptAt returns how many tokens of a prompt an endpoint keeps; 0 if it isn't
// known.
func (o *Owner) keptAt(ctx context.Context, number, head uint32) uint32 {
	b, err := o.book(ctx, number)
	if err != nil || b.ledger == nil {
		return 0
	}
	b.mu.Lock()
	old := time.Since(b.fed) > keptFresh
	b.mu.Unlock()
	if old {
		o.pollFeed(ctx, b)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads[head]
}
