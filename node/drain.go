package node

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

// drainPollInterval is how often a stopping node checks whether requests are still in progress.
const drainPollInterval = 20 * time.Millisecond

// shutdownReserve is how long before the process would be killed a stopping node
// abandons the requests in progress. The steps after that take up to 0.95 s, and
// writing the last log lines up to 0.2 s; the rest is a margin for a slow host.
const shutdownReserve = 1250 * time.Millisecond

// Drain performs a planned stop: the node reports that it isn't ready, hands over
// the endpoints that it owns, waits for requests in progress and for tunnels of other hosts, and then stops. It
// returns how many requests were cut off without a whole answer, which is 0 unless the time ran out:
// drain_s, or stop_grace_s where that is set. Requests that are in progress then are answered that their outcome is unknown, or
// that they did not run.
func (n *Node) Drain() int {
	deadline := time.Now().Add(config.Millis(n.settings.LameDuckMillis) + time.Duration(n.settings.DrainSeconds)*time.Second)
	refuseAt := time.Now().Add(config.Millis(n.settings.LameDuckMillis))
	if g := n.settings.GraceSeconds; g > 0 {
		deadline = time.Now().Add(time.Duration(g*float64(time.Second)) - shutdownReserve)
		refuseAt = deadline.Add(-refuseLead)
		n.Board.SetStop(deadline)
	}
	n.Board.SetLeaving()
	n.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), config.Millis(n.settings.LameDuckMillis))
	n.Router.Announce(ctx)
	n.Owner.HandOverAll(ctx)
	n.Router.HandOverVersions()
	<-ctx.Done() // meanwhile the load balancer and the peers stop sending requests here
	cancel()
	for time.Now().Before(deadline) && n.isBusy() {
		if time.Now().After(refuseAt) {
			n.Board.SetDraining()
		}
		time.Sleep(drainPollInterval)
	}
	n.Board.SetDraining()
	for time.Now().Before(deadline) && n.isBusy() { // calls that came just before
		time.Sleep(drainPollInterval)
	}
	n.entry.EndRequests()
	for end := time.Now().Add(endTimeout); time.Now().Before(end) && n.hasRequests(); {
		time.Sleep(drainPollInterval)
	}
	left := n.Board.Requests.Len() + n.entry.CutAtStop()
	n.Board.Invariant.Check(left == 0, invariant.DrainComplete, "%d requests in progress after drain_s", left)
	ctx, cancel = context.WithTimeout(context.Background(), flushTimeout)
	n.Router.Flush(ctx)
	cancel()
	n.shutdown()
	n.stopWithin(stopTimeout)
	return left
}

// hasRequests reports whether requests of callers are in progress.
func (n *Node) hasRequests() bool { return n.calls.Load() > 0 || n.Board.Requests.Len() > 0 }

// isBusy reports whether anything is in progress that a planned stop waits for.
func (n *Node) isBusy() bool {
	return n.hasRequests() || n.Owner.QueuedRequests()+n.gateway.Active() > 0
}

// stopWithin calls Stop, but waits no longer than timeout for it. Goroutines that
// hang end with the process.
func (n *Node) stopWithin(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Stop()
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		n.log.Warn("stopped without waiting for all to end")
	}
}

// Time limits of the steps of a planned stop.
const (
	endTimeout   = 100 * time.Millisecond  // of answering the requests that are ended
	flushTimeout = 150 * time.Millisecond  // of sending the last releases to owners
	stopTimeout  = 300 * time.Millisecond  // of Stop
	refuseLead   = 1500 * time.Millisecond // before the deadline that stop_grace_s sets, new requests are refused
)

// shutdownTimeout bounds how long a stopping node waits for handlers to write their last bytes.
const shutdownTimeout = 400 * time.Millisecond

// shutdown closes the HTTP servers, but lets handlers that are ending write their last bytes.
func (n *Node) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
	}
}

// Stop closes all connections and ends all goroutines at once, without draining.
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
