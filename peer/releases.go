package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
)

// flushInterval is how long releases to a peer are batched.
const flushInterval = 40 * time.Millisecond

// Release informs the endpoint's owner that an attempt has ended. It doesn't wait: if a release is
// lost, the owner learns of the end from the endpoint's own list.
func (r *Router) Release(spec *config.Endpoint, rel owner.Release) {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return
	}
	if self {
		r.owner.Release([]owner.Release{rel})
		return
	}
	r.mu.Lock()
	r.releases[h.Peers] = append(r.releases[h.Peers], rel)
	r.mu.Unlock()
	if rel.Outcome == owner.Abandoned || rel.Outcome == owner.CallerLeft {
		go r.Flush(context.Background())
	}
}

// Flush sends the batched releases. It is run by a controller of its own, every flushInterval.
func (r *Router) Flush(ctx context.Context) {
	r.mu.Lock()
	batch := r.releases
	r.releases = map[string][]owner.Release{}
	r.mu.Unlock()
	for addr, rows := range batch {
		_ = r.pool.call(ctx, addr, methodRelease, &ReleaseArgs{Rows: rows}, &Nothing{}, r.timeout())
	}
}

// Flusher returns the controller that sends batched releases.
func (r *Router) Flusher() blackboard.Controller { return blackboard.Every(flushInterval, r.Flush) }
