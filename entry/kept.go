package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// keptShare is the part of a prompt that an engine has to keep so that the answer
// goes on there. The rest is read between the steps of others; it is some hundred
// tokens that many prompts begin with, which a feed names apart.
const keptShare = 0.7

// resumes reports whether the caller has the beginning of the answer already.
func (j *job) resumes() bool { return j.work.LastMark != "" || j.out.pieces() > 0 }

// placeKept places a request whose answer was broken off on the decode engine
// that still keeps its prompt, if there is one with room. Nothing is read or
// moved again.
func (e *Entry) placeKept(ctx context.Context, j *job) *plan {
	if !e.traits.DecodeKeeps || !j.pick.HasHead || !j.resumes() {
		return nil
	}
	specs := e.decodes(j)
	if len(specs) == 0 {
		return nil
	}
	spec, tokens := e.owners.Kept(ctx, specs, j.pick.Head, int(keptShare*float64(j.tokens)))
	if spec == nil {
		return nil
	}
	p := &plan{Choice: route.Choice{}, dec: spec, kept: true}
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil {
		e.logRefused(j, spec, "kept", refusal, 0)
		return nil
	}
	e.log.Info("prompt kept", zap.String("id", j.id.String()), zap.String("endpoint", spec.Name), zap.Int("tokens", tokens), zap.Int("of", j.tokens))
	return p
}

// decodes lists the decode engines that a job may go to now.
func (e *Entry) decodes(j *job) (specs []*config.Endpoint) {
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil {
			return
		}
		e.bind(v, j, &j.pick)
		for _, s := range g.Decode.All() {
			if route.Open(s, &j.pick) && s.Spec.Serves(j.pick.Model) {
				specs = append(specs, s.Spec)
			}
		}
	})
	return specs
}
