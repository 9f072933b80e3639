package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// minCachedShare is the part of a prompt that an engine must have cached for the answer to
// resume there. The rest is prefilled between the steps of other requests; it is some
// hundred tokens that many prompts begin with, which cache feeds report separately.
const minCachedShare = 0.7

// resumes reports whether the caller has the beginning of the answer already.
func (j *job) resumes() bool { return j.work.LastEventID != "" || j.reply.chunks() > 0 }

// placeOnCached places a request whose answer was broken off on the decode engine that
// still has its prompt cached, if there is one with capacity. Nothing is prefilled or
// transferred again.
func (e *Entry) placeOnCached(ctx context.Context, j *job) *plan {
	if !e.traits.DecodeCaches || !j.criteria.HasHead || !j.resumes() {
		return nil
	}
	specs := e.eligibleDecodes(j)
	if len(specs) == 0 {
		return nil
	}
	spec, tokens := e.owners.FindCached(ctx, specs, j.criteria.Head, int(minCachedShare*float64(j.tokens)))
	if spec == nil {
		return nil
	}
	p := &plan{Choice: route.Choice{}, decodeSpec: spec, promptCached: true}
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil {
		e.logRefused(j, spec, "kept", refusal, 0)
		return nil
	}
	e.log.Info("prompt is cached", zap.String("id", j.id.String()), zap.String("endpoint", spec.Name), zap.Int("tokens", tokens), zap.Int("of", j.tokens))
	return p
}

// eligibleDecodes lists the decode engines that a job may use now.
func (e *Entry) eligibleDecodes(j *job) (specs []*config.Endpoint) {
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil {
			return
		}
		e.bindRegions(v, j, &j.criteria)
		for _, s := range g.Decode.All() {
			if route.Eligible(s, &j.criteria) && s.Spec.Serves(j.criteria.Model) {
				specs = append(specs, s.Spec)
			}
		}
	})
	return specs
}
