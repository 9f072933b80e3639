package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
)

// reorderAfter is how long a runner is given to carry out an order before it
// is sent again. Orders name a state, so repeating one is safe.
const reorderAfter = time.Second

// wanted is the state that a revision asks of an endpoint.
func wanted(v *config.View, e *config.Endpoint) endpoint.Order {
	return endpoint.Order{Fence: v.Revision, Role: string(e.Role), Model: e.Model, Version: v.WantVersion(e), Adapters: e.Adapters}
}

// differs reports whether an endpoint's report is not the state wanted.
func differs(o endpoint.Order, st *endpoint.State) bool {
	return o.Role != st.Role || o.Model != st.Model || o.Version != st.Version || !slices.Equal(o.Adapters, st.Adapters)
}

// correct orders an endpoint into the state that the revision in force asks
// for. An endpoint that checks fences refuses an owner that is behind; one
// that doesn't is read again at the next poll and corrected.
func (o *Owner) correct(ctx context.Context, b *Book, st *endpoint.State) {
	v := o.board.Config.View()
	if b.spec.Role == config.Service || b.spec.Registered || v == nil {
		return
	}
	now := time.Now()
	b.mu.Lock()
	order := wanted(v, b.spec)
	ahead := b.spec.ChecksFence && st.Fence > v.Revision // another owner knows better
	b.wrong = differs(order, st)
	due := b.wrong && !ahead && !v.Emptied(b.spec) && now.Sub(b.ordered) > reorderAfter
	if due {
		b.ordered = now
	}
	b.mu.Unlock()
	if !due || o.board.Pause.Check() {
		return
	}
	err := o.engine.Order(ctx, b.spec.Address, order)
	o.Orders.Add(1)
	o.log.Info("order sent", zap.String("endpoint", b.spec.Name), zap.Uint64("fence", order.Fence),
		zap.String("version", order.Version), zap.Error(err))
	if err == nil {
		b.mu.Lock()
		b.nextState = now
		b.mu.Unlock()
		o.board.Wake.All()
	}
}
