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

// maxKeptCalls is how many hosts are asked which endpoint has a prompt cached. Asking more would
// cost more than the prefill of the prompt.
const maxKeptCalls = 64

// FindCached asks the owners of decode endpoints which of them has a prompt cached. It returns the
// endpoint that has the most tokens of it, at least need, or nil if none is known. The own
// failure domain is asked first: clients return to the domain that served them before, and its
// hosts mostly use its own endpoints.
func (r *Router) FindCached(ctx context.Context, specs []*config.Endpoint, head uint32, need int) (best *config.Endpoint, tokens int) {
	var near, far []*config.Endpoint
	for _, spec := range specs {
		if spec.Domain == r.board.Settings.Domain {
			near = append(near, spec)
		} else {
			far = append(far, spec)
		}
	}
	for _, group := range [][]*config.Endpoint{near, far} {
		if best, tokens = r.queryKept(ctx, group, head); best != nil && tokens >= need {
			return best, tokens
		}
	}
	return nil, 0
}

// keptCall is the question for one owner.
type keptCall struct {
	host  blackboard.Host
	self  bool
	specs []*config.Endpoint
	args  owner.KeptArgs
}

// queryKept asks the owners of the endpoints concurrently.
func (r *Router) queryKept(ctx context.Context, specs []*config.Endpoint, head uint32) (best *config.Endpoint, tokens int) {
	calls := map[uint32]*keptCall{}
	for _, spec := range specs {
		h, self, err := r.ownerOf(spec)
		if err != nil {
			continue
		}
		a := calls[h.Number]
		if a == nil {
			if len(calls) == maxKeptCalls {
				continue
			}
			a = &keptCall{host: h, self: self, args: owner.KeptArgs{Head: head}}
			calls[h.Number] = a
		}
		a.specs = append(a.specs, spec)
		a.args.Endpoints = append(a.args.Endpoints, route.Number(spec.Name))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range calls {
		wg.Go(func() {
			var reply owner.KeptReply
			if a.self {
				reply = r.owner.Kept(ctx, a.args)
			} else if err := r.pool.call(ctx, a.host.Peers, methodKept, &a.args, &reply, r.timeout()); err != nil {
				r.log.Debug("query for cached prompts failed", zap.String("host", a.host.Name), zap.Error(err))
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
