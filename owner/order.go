package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
)

// reorderAfter is the time after which an order that was not carried out is sent again.
// Orders name a state, so repeating one is safe.
const reorderAfter = time.Second

// wantedState returns the state that a revision asks for at an endpoint.
func wantedState(v *config.View, e *config.Endpoint) endpoint.Order {
	return endpoint.Order{Fence: v.Revision, Role: string(e.Role), Model: e.Model, Version: v.WantVersion(e), Adapters: e.Adapters}
}

// differs reports whether an endpoint's reported state differs from the one ordered.
func differs(o endpoint.Order, st *endpoint.State) bool {
	return o.Role != st.Role || o.Model != st.Model || o.Version != st.Version || !slices.Equal(o.Adapters, st.Adapters)
}

// correctState orders an endpoint into the state that the revision in force asks for. An
// endpoint that checks fences refuses orders of an owner that is behind. One that doesn't
// is corrected after the next poll.
func (o *Owner) correctState(ctx context.Context, sched *Scheduler, st *endpoint.State) {
	v := o.board.Config.View()
	if sched.spec.Role == config.Service || sched.spec.Registered || v == nil {
		return
	}
	now := time.Now()
	sched.mu.Lock()
	order := wantedState(v, sched.spec)
	ahead := sched.spec.ChecksFence && st.Fence > v.Revision // another owner has a later revision
	sched.wrongState = differs(order, st)
	due := sched.wrongState && !ahead && !v.IsEvacuated(sched.spec) && now.Sub(sched.lastOrder) > reorderAfter
	if due {
		sched.lastOrder = now
	}
	sched.mu.Unlock()
	if !due || o.board.Pause.Check() {
		return
	}
	err := o.engine.Order(ctx, sched.spec.Address, order)
	o.Orders.Add(1)
	o.log.Info("order sent", zap.String("endpoint", sched.spec.Name), zap.Uint64("fence", order.Fence),
		zap.String("version", order.Version), zap.Error(err))
	if err == nil {
		sched.mu.Lock()
		sched.nextState = now
		sched.mu.Unlock()
		o.board.Wake.All()
	}
}
