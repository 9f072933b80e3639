package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// tryUnreserved is a try by one of the baselines: the prompt is read at once
// wherever the baseline says, and a decode engine is looked for afterwards.
func (e *Entry) tryUnreserved(ctx context.Context, j *job) error {
	p := &plan{}
	p.Prefill = e.one(j, prefillList)
	if p.Prefill < 0 {
		return result.Errorf(result.NoEndpoint, "no prefill endpoint is in reach").After(time.Second)
	}
	p.pre = &j.view.Doc.Endpoints[p.Prefill]
	p.Read = time.Duration(float64(j.tokens) / p.pre.TokensPerSecond * float64(time.Second))
	kv, err := e.read(ctx, j, p)
	if err != nil {
		return err
	}
	p.Decode = e.one(j, decodeList)
	if p.Decode < 0 {
		e.abort(p.pre, p.readBy)
		j.waste += p.cost
		return result.Errorf(result.NoEndpoint, "no decode endpoint is in reach").After(time.Second)
	}
	p.dec = &j.view.Doc.Endpoints[p.Decode]
	p.Move = route.LinkTime(p.dec, kv.Bytes) * baselineMoves
	p.decodeBy = e.board.Requests.Open(j.id)
	return e.write(ctx, j, p, kv)
}

// baselineMoves is how many transfers a baseline expects to share a link, as
// it paces none.
const baselineMoves = 4

// one chooses an endpoint as the baseline does.
func (e *Entry) one(j *job, list func(g *config.Group) []int) int {
	turn := e.turn.Add(1)
	j.pick.Now, j.pick.Seed = time.Now(), j.pick.Seed*0x9e3779b97f4a7c15+turn
	best := -1
	e.board.Endpoints.Read(func(v *config.View, states []route.State) {
		if j.pick.Group = j.group(v); j.pick.Group != nil {
			e.bind(v, j, &j.pick)
			best = route.PickOne(v, states, list(j.pick.Group), v.Doc.Policy.Mode, turn, &j.pick)
		}
	})
	if best >= len(j.view.Doc.Endpoints) {
		return -1
	}
	return best
}
