package peer

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/route"
)

// mostKeptAsks is how many hosts are asked which endpoint keeps a prompt: more
// would cost more than the prompt does.
const mostKeptAsks = 64

// Kept asks the owners of decode endpoints which of them keeps a prompt, and
// returns the one that keeps most of it; nil: none does, as far as is known.
func (r *Router) Kept(ctx context.Context, specs []*config.Endpoint, head uint32) (best *config.Endpoint, tokens int) {
	type ask struct {
		host  blackboard.Host
		self  bool
		specs []*config.Endpoint
		args  owner.KeptArgs
	}
	asks := map[uint32]*ask{}
	for _, spec := range specs {
		h, self, err := r.ownerOf(spec)
		if err != nil {
			continue
		}
		a := asks[h.Number]
		if a == nil {
			if len(asks) == mostKeptAsks {
				continue
			}
			a = &ask{host: h, self: self, args: owner.KeptArgs{Head: head}}
			asks[h.Number] = a
		}
		a.specs = append(a.specs, spec)
		a.args.Endpoints = append(a.args.Endpoints, route.Number(spec.Name))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range asks {
		wg.Go(func() {
			var reply owner.KeptReply
			if a.self {
				reply = r.owner.Kept(ctx, a.args)
			} else if err := r.pool.call(ctx, a.host.Peers, methodKept, &a.args, &reply, r.timeout()); err != nil {
				r.log.Debug("not told what is kept", zap.String("host", a.host.Name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for i, n := range reply.Tokens {
				if i < len(a.specs) && int(n) > tokens {
					best, tokens = a.specs[i], int(n)
				}
			}
		})
	}
	wg.Wait()
	return best, tokens
}
