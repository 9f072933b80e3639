package node

import (
	"context"
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

const (
	callerLimitInterval = time.Second
	// collectorMargin is the share of the collector's limit that stays free: close to it the collector never rests.
	collectorMargin = 0.15
	// minCallerShare is the share of caller_memory_mb that callers have in any case.
	minCallerShare = 0.25
	// usageSmoothing is the weight of a new sample of what the tables hold: what is live is known as of the last collection,
	// what callers hold as of now.
	usageSmoothing = 0.1
)

// callerLimiter returns the controller that lowers what callers may make the process hold to what its tables leave.
// The memory of the process has to be the node's.
func (n *Node) callerLimiter() blackboard.Controller {
	samples := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	tables := 0.0
	return blackboard.Every(callerLimitInterval, func(context.Context) {
		runtimemetrics.Read(samples)
		used := -float64(n.Board.Intake.Memory.Status().HeldBytes)
		for _, s := range samples {
			if s.Value.Kind() == runtimemetrics.KindUint64 {
				used += float64(s.Value.Uint64())
			}
		}
		tables += usageSmoothing * (used - tables)
		n.Board.Intake.Memory.SetLimit(callerLimit(n.settings, tables))
	})
}

// callerLimit returns what callers may make the process hold, in bytes, if its tables hold some.
func callerLimit(s *config.Settings, tables float64) int64 {
	limit := megabyte * s.CallerMegabytes
	left := (1-collectorMargin)*config.CollectorShare*megabyte*s.MemoryMegabytes - tables
	return int64(min(limit, max(left, minCallerShare*limit)))
}

const megabyte = 1 << 20
