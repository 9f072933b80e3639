package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// tryUnreserved is a try by one of the baselines: the prompt is read at once
// wherever the baseline says, and a decode engine is looked for afterwards.
func (e *Entry) tryUnreserved(ctx context.Context, j *job) error {
	p := &plan{}
	p.pre = e.one(j, prefillList)
	if p.pre == nil {
		return e.nowhere(j, "prefill endpoint", prefillList)
	}
	p.Read = time.Duration(float64(j.tokens) / p.pre.TokensPerSecond * float64(time.Second))
	kv, err := e.read(ctx, j, p)
	if err != nil {
		return err
	}
	p.dec = e.one(j, decodeList)
	if p.dec == nil {
		e.abort(p.pre, p.readBy)
		j.waste += p.cost
		return e.nowhere(j, "decode endpoint", decodeList)
	}
	p.Move = route.LinkTime(p.dec, kv.Bytes) * baselineMoves
	p.decodeBy = e.board.Requests.Open(j.id)
	return e.write(ctx, j, p, kv)
}

// baselineMoves is how many transfers a baseline expects to share a link, as
// it paces none.
const baselineMoves = 4

// one chooses an endpoint as the baseline does, of the view in use; nil: none is open. The
// view that the request came by may have others at the same places of its list.
func (e *Entry) one(j *job, list func(g *route.Group) []*route.State) (spec *config.Endpoint) {
	turn := e.turn.Add(1)
	j.pick.Now, j.pick.Seed = time.Now(), j.pick.Seed*0x9e3779b97f4a7c15+turn
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if j.pick.Group = j.group(fleet); j.pick.Group == nil {
			return
		}
		e.bind(v, j, &j.pick)
		if s := route.PickOne(list(j.pick.Group), v.Doc.Policy.Mode, turn, &j.pick); s != nil {
			spec = s.Spec
		}
	})
	return spec
}
