package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
)

// Heartbeats are forwarded to randomly chosen hosts, so some of them take many times as long as most. A host whose
// heartbeat is nearly overdue is therefore pinged before it counts as gone.

// maxSilentChecks is how many hosts are checked at once. More fall silent together only if they can't be reached.
const maxSilentChecks = 8

// silentCheckLead returns how long before its heartbeat is overdue a host is checked: the time until the watcher runs
// again, and for a ping and another one by other hosts.
func (r *Router) silentCheckLead() time.Duration { return watchInterval + 3*r.timeout() }

// checkSilentHosts pings the hosts whose heartbeats are nearly overdue. It doesn't wait for them.
func (r *Router) checkSilentHosts(ctx context.Context) {
	for _, h := range r.board.Hosts.NearlyOverdue(r.silentCheckLead(), maxSilentChecks, time.Now()) {
		go r.checkSilent(ctx, h)
	}
}

// checkSilent requests a host's heartbeat, through other hosts if this one doesn't reach it.
func (r *Router) checkSilent(ctx context.Context, h blackboard.Host) {
	b, err := r.pingHeartbeat(ctx, h)
	if err != nil {
		var reached bool
		if b, _, reached = r.pingByOthers(ctx, h); !reached {
			r.log.Debug("silent host doesn't answer", zap.String("host", h.Name), zap.Error(err))
			return
		}
	}
	r.learnHeartbeat(h, b)
}
