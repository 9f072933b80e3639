package peer

import (
	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
)

// Heard takes in what an answer of an endpoint to this host said of its limit.
func (r *Router) Heard(spec *config.Endpoint, w pace.Word) {
	r.hear(spec.Name, w, "its answer")
}

// hear takes a word of an endpoint's limit in, and logs what it changes.
func (r *Router) hear(endpoint string, w pace.Word, from string) pace.Change {
	c := r.board.Endpoints.Hear(config.NameNumber(endpoint), clock.Now(), w)
	if c != pace.ChangeNone {
		r.log.Info(c.String(), zap.String("endpoint", endpoint), zap.Float64("per_s", w.PerSecond), zap.String("from", from))
	}
	return c
}
