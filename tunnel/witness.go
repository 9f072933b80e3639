package tunnel

import (
	"context"
	"sync"
	"time"

	"github.com/embercove/embercove/route"
)

// What a gateway doesn't reach says something of an endpoint only if the gateway reaches others. So it
// connects to others beside an attempt that fails or takes long.

const (
	// witnessDelay is how long an endpoint may take to accept a connection until others are tried.
	witnessDelay = 50 * time.Millisecond
	// witnessTimeout bounds the wait for others.
	witnessTimeout = 50 * time.Millisecond
	// maxWitnesses is how many others are tried. Many may be down at the same time.
	maxWitnesses = 8
)

// witness finds out whether a gateway reaches other endpoints than one.
type witness struct {
	gateway *Gateway
	address string // of the endpoint that isn't tried
	ctx     context.Context
	stop    context.CancelFunc
	timer   *time.Timer
	begin   func()
	done    chan struct{} // closed once it is known whether another endpoint is reached
	failed  chan struct{} // closed if none is
}

// newWitness returns a witness for an attempt to connect that begins now. The caller must call end.
func (g *Gateway) newWitness(ctx context.Context, address string) *witness {
	w := &witness{gateway: g, address: address, done: make(chan struct{}), failed: make(chan struct{})}
	w.ctx, w.stop = context.WithCancel(context.WithoutCancel(ctx))
	w.begin = sync.OnceFunc(func() { go w.try() })
	w.timer = time.AfterFunc(witnessDelay, w.begin)
	return w
}

// end ends the attempts.
func (w *witness) end() {
	w.timer.Stop()
	w.stop()
}

// try connects to some endpoints that this host doesn't know to be unreachable.
func (w *witness) try() {
	defer close(w.done)
	var addresses []string
	w.gateway.board.Endpoints.Read(func(fleet *route.Fleet) {
		for _, s := range fleet.SampleReachable(maxWitnesses+1, time.Now()) {
			if s.Spec.Address != w.address && len(addresses) < maxWitnesses {
				addresses = append(addresses, s.Spec.Address)
			}
		}
	})
	results := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() {
			conn, err := w.gateway.dialer.direct(w.ctx, "tcp", a)
			if err == nil {
				conn.Close()
			}
			results <- err == nil
		}()
	}
	if !anyReached(results, len(addresses)) {
		close(w.failed)
	}
}

// anyReached reports whether one of n attempts succeeds soon, or there is none.
func anyReached(results <-chan bool, n int) bool {
	timeout := time.After(witnessTimeout)
	for range n {
		select {
		case reached := <-results:
			if reached {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return n == 0
}

// reached reports whether another endpoint was reached, or there is none to try.
func (w *witness) reached() bool {
	w.timer.Stop()
	w.begin()
	<-w.done
	select {
	case <-w.failed:
		return false
	default:
		return true
	}
}
