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
	// maxWitnesses is how many others are tried.
	maxWitnesses = 4
)

// witness finds out whether a gateway reaches other endpoints than one. Its methods must be called by one
// goroutine.
type witness struct {
	gateway *Gateway
	address string // of the endpoint that isn't tried
	ctx     context.Context
	stop    context.CancelFunc
	timer   *time.Timer
	begin   func()
	results chan bool
	tried   int
}

// newWitness returns a witness for an attempt to connect that begins now. The caller must call end.
func (g *Gateway) newWitness(ctx context.Context, address string) *witness {
	w := &witness{gateway: g, address: address, results: make(chan bool, maxWitnesses)}
	w.ctx, w.stop = context.WithCancel(context.WithoutCancel(ctx))
	w.begin = sync.OnceFunc(w.try)
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
	var addresses []string
	w.gateway.board.Endpoints.Read(func(fleet *route.Fleet) {
		for _, s := range fleet.SampleReachable(maxWitnesses+1, time.Now()) {
			if s.Spec.Address != w.address && len(addresses) < maxWitnesses {
				addresses = append(addresses, s.Spec.Address)
			}
		}
	})
	w.tried = len(addresses)
	for _, a := range addresses {
		go func() {
			conn, err := w.gateway.dial(w.ctx, "tcp", a)
			if err == nil {
				conn.Close()
			}
			w.results <- err == nil
		}()
	}
}

// reached reports whether another endpoint was reached, or there is none to try.
func (w *witness) reached() bool {
	w.timer.Stop()
	w.begin()
	timeout := time.After(witnessTimeout)
	for range w.tried {
		select {
		case reached := <-w.results:
			if reached {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return w.tried == 0
}
