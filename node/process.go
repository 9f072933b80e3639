package node

import (
	"context"
	runtimemetrics "runtime/metrics"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
)

// processLogInterval is how often the resource usage of the process is logged.
const processLogInterval = 10 * time.Second

// processMetrics are the runtime metrics of memory and goroutines that are logged, each with
// its log field.
var processMetrics = []struct{ field, metric string }{
	{"heap_live_bytes", "/gc/heap/live:bytes"},
	{"heap_bytes", "/memory/classes/heap/objects:bytes"},
	{"heap_free_bytes", "/memory/classes/heap/free:bytes"},
	{"stack_bytes", "/memory/classes/heap/stacks:bytes"},
	{"total_bytes", "/memory/classes/total:bytes"},
	{"goroutines", "/sched/goroutines:goroutines"},
	{"collections", "/gc/cycles/total:gc-cycles"},
}

// processLogger returns the controller that logs the resource usage of the process, so that
// the last log lines of a process that ran out of memory show what had grown.
func (n *Node) processLogger() blackboard.Controller {
	samples := make([]runtimemetrics.Sample, len(processMetrics))
	for i, h := range processMetrics {
		samples[i].Name = h.metric
	}
	return blackboard.Every(processLogInterval, func(context.Context) {
		runtimemetrics.Read(samples)
		fields := make([]zap.Field, 0, len(samples)+4)
		for i, h := range processMetrics {
			if samples[i].Value.Kind() == runtimemetrics.KindUint64 {
				fields = append(fields, zap.Uint64(h.field, samples[i].Value.Uint64()))
			}
		}
		fields = append(fields, zap.Int("hosts", n.Board.Hosts.Len()), zap.Int("peer_connections", n.Router.Connections()), zap.Stringer("roster", n.Board.Config.RosterRevision()))
		n.log.Info("process", fields...)
	})
}
