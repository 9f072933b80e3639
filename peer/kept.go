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
// returns the one that keeps most of it, and at least need tokens; nil: none
// does, as far as is known. The own failure domain is asked first: callers come back to the one that they came
// from, and its hosts mostly use its own endpoints.
func (r *Router) Kept(ctx context.Context, specs []*config.Endpoint, head uint32, need int) (best *config.Endpoint, tokens int) {
	var near, far []*config.Endpoint
	for _, spec := range specs {
		if spec.Domain == r.board.Settings.Domain {
			near = append(near, spec)
		} else {
			far = append(far, spec)
		}
	}
	for _, some := range [][]*config.Endpoint{near, far} {
		if best, tokens = r.keptOf(ctx, some, head); best != nil && tokens >= need {
			return best, tokens
		}
	}
	return nil, 0
}

// keptAsk is what one owner is asked.
type keptAsk struct {
	host  blackboard.Host
	self  bool
	specs []*config.Endpoint
	args  owner.KeptArgs
}

// keptOf asks the owners of some endpoints at once.
func (r *Router) keptOf(ctx context.Context, specs []*config.Endpoint, head uint32) (best *config.Endpoint, tokens int) {
	asks := map[uint32]*keptAsk{}
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
			a = &keptAsk{host: h, self: self, args: owner.KeptArgs{Head: head}}
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
