package node

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

// drainTick is how often a stopping node looks whether it is empty.
const drainTick = 20 * time.Millisecond

// graceSpare is how long before it would be killed a stopping node gives up
// what is in progress. The steps after that take up to 0.85 s, and the last log
// lines up to 0.2 s; the rest is for a host that is slow.
const graceSpare = 1250 * time.Millisecond

// Drain is the planned stop: readiness goes first, owned endpoints are handed
// over, requests in progress end, and then the node stops. It returns how
// many requests were cut off, which is 0 unless drain_s ran out.
func (n *Node) Drain() int {
	deadline := time.Now().Add(config.Millis(n.settings.LameDuckMillis) + time.Duration(n.settings.DrainSeconds)*time.Second)
	refuseAt := time.Now().Add(config.Millis(n.settings.LameDuckMillis))
	if g := n.settings.GraceSeconds; g > 0 {
		deadline = time.Now().Add(time.Duration(g*float64(time.Second)) - graceSpare)
		refuseAt = deadline.Add(-refuseLast)
		n.Board.SetStop(deadline)
	}
	n.Board.SetLeaving()
	n.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), config.Millis(n.settings.LameDuckMillis))
	n.Router.Announce(ctx)
	n.Owner.HandOver(ctx)
	<-ctx.Done() // the balancer and the peers take the host out meanwhile
	cancel()
	for time.Now().Before(deadline) && n.Board.Requests.Len()+n.Owner.Waiting() > 0 {
		if time.Now().After(refuseAt) {
			n.Board.SetDraining()
		}
		time.Sleep(drainTick)
	}
	n.Board.SetDraining()
	left := n.Board.Requests.Len()
	n.Board.Invariant.Check(left == 0, invariant.DrainComplete, "%d requests in progress after drain_s", left)
	ctx, cancel = context.WithTimeout(context.Background(), flushTime)
	n.Router.Flush(ctx)
	cancel()
	n.shutdown()
	n.stopWithin(stopTime)
	return left
}

// stopWithin stops, but doesn't wait for longer than d: what hangs ends with
// the process.
func (n *Node) stopWithin(d time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Stop()
	}()
	select {
	case <-done:
	case <-time.After(d):
		n.log.Warn("stopped without waiting for all to end")
	}
}

// Bounds of the steps after the last request.
const (
	flushTime  = 150 * time.Millisecond
	stopTime   = 300 * time.Millisecond
	refuseLast = 1500 * time.Millisecond // before a set end, new requests are refused
)

// shutdownTime bounds the last writes of a stopping node.
const shutdownTime = 400 * time.Millisecond

// shutdown lets handlers that have just ended write their last bytes.
func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
	}
}

// Stop ends everything at once.
func (n *Node) Stop() {
	n.cancel()
	for _, s := range n.servers {
		s.Close()
	}
	n.Router.Close()
	n.engine.CloseIdle()
	if n.platform != nil {
		n.platform.Close()
	}
	n.pool.Wait()
	n.wg.Wait()
	n.engine.CloseIdle()
	n.metrics.close()
}
