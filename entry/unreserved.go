package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// tryUnreserved is a try under one of the baseline policies: the prompt is prefilled at
// once at the endpoint that the policy selects, and a decode engine is looked for
// afterwards.
func (e *Entry) tryUnreserved(ctx context.Context, j *job) error {
	p := &plan{}
	p.prefillSpec = e.chooseOne(j, prefillStates)
	if p.prefillSpec == nil {
		return e.noneEligible(j, "prefill endpoint", prefillStates)
	}
	p.PrefillDuration = time.Duration(float64(j.tokens) / p.prefillSpec.TokensPerSecond * float64(time.Second))
	kv, err := e.prefill(ctx, j, p)
	if err != nil {
		return err
	}
	p.decodeSpec = e.chooseOne(j, decodeStates)
	if p.decodeSpec == nil {
		e.abort(p.prefillSpec, p.prefillAttempt)
		j.wastedTokens += p.prefilledTokens
		return e.noneEligible(j, "decode endpoint", decodeStates)
	}
	p.TransferDuration = route.LinkTime(p.decodeSpec, kv.Bytes) * baselineTransfers
	p.decodeAttempt = e.board.Requests.Open(j.id)
	return e.decode(ctx, j, p, kv)
}

// baselineTransfers is how many transfers a baseline policy assumes to share a link, as it
// schedules none.
const baselineTransfers = 4

// chooseOne selects an endpoint by the baseline policy, from the view in use; nil: none is
// open. The view that the request was admitted under may list endpoints at other positions.
func (e *Entry) chooseOne(j *job, list func(g *route.Group) []*route.State) (spec *config.Endpoint) {
	counter := e.sequence.Add(1)
	j.criteria.Now, j.criteria.Seed = time.Now(), j.criteria.Seed*0x9e3779b97f4a7c15+counter
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if j.criteria.Group = j.group(fleet); j.criteria.Group == nil {
			return
		}
		e.bindRegions(v, j, &j.criteria)
		if s := route.PickBaseline(list(j.criteria.Group), v.Doc.Policy.Mode, counter, &j.criteria); s != nil {
			spec = s.Spec
		}
	})
	return spec
}
