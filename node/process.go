package node

import (
	"context"
	runtimemetrics "runtime/metrics"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
)

// processEvery is how often the process logs what it holds.
const processEvery = 10 * time.Second

// holdings are the runtime's metrics of what the process holds, by the name of their field.
var holdings = []struct{ field, metric string }{
	{"heap_live_bytes", "/gc/heap/live:bytes"},
	{"heap_bytes", "/memory/classes/heap/objects:bytes"},
	{"heap_free_bytes", "/memory/classes/heap/free:bytes"},
	{"stack_bytes", "/memory/classes/heap/stacks:bytes"},
	{"total_bytes", "/memory/classes/total:bytes"},
	{"goroutines", "/sched/goroutines:goroutines"},
	{"collections", "/gc/cycles/total:gc-cycles"},
}

// processWatch returns the controller that logs what the process holds, so that one which
// grew too large can be told from its last lines.
func (n *Node) processWatch() blackboard.Controller {
	samples := make([]runtimemetrics.Sample, len(holdings))
	for i, h := range holdings {
		samples[i].Name = h.metric
	}
	return blackboard.Every(processEvery, func(context.Context) {
		runtimemetrics.Read(samples)
		fields := make([]zap.Field, 0, len(samples)+4)
		for i, h := range holdings {
			if samples[i].Value.Kind() == runtimemetrics.KindUint64 {
				fields = append(fields, zap.Uint64(h.field, samples[i].Value.Uint64()))
			}
		}
		fields = append(fields, zap.Int("hosts", n.Board.Hosts.Len()), zap.Int("peer_connections", n.Router.Connections()), zap.Stringer("roster", n.Board.Config.RosterRevision()))
		n.log.Info("process", fields...)
	})
}
