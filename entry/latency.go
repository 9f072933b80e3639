package entry

import (
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the latency buckets, in seconds.
var latencyBounds = [...]float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 0.9, 1.2, 2, 4, 8}

// Kind classifies requests for metrics.
type Kind int

// The kinds of requests.
const (
	KindPlain      Kind = iota // of a plain service
	KindPlainOnce              // of a plain service, not repeatable
	KindStream                 // of engines
	KindStreamOnce             // of engines, not repeatable
	kinds
)

var kindNames = [kinds]string{"plain", "plain_once", "stream", "stream_once"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

func (j *job) kind() Kind {
	k := KindPlain
	if j.prompted {
		k = KindStream
	}
	if !j.repeatable {
		k++
	}
	return k
}

// LatencyRecorder counts times to the first chunk, or to the answer, in buckets. The zero
// value is ready to use.
type LatencyRecorder struct {
	mu   sync.Mutex
	rows [kinds]Latency
}

// Latency is the distribution of one kind.
type Latency struct {
	Kind   Kind
	Counts [len(latencyBounds) + 1]uint64 // not cumulative; the last has no bound
	Sum    float64                        // seconds
}

// Bounds returns the upper bounds of the buckets, in seconds.
func (Latency) Bounds() []float64 { return latencyBounds[:] }

func (r *LatencyRecorder) record(k Kind, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := 0
	for i < len(latencyBounds) && d.Seconds() > latencyBounds[i] {
		i++
	}
	r.rows[k].Counts[i]++
	r.rows[k].Sum += d.Seconds()
}

// All returns the distributions of all kinds.
func (r *LatencyRecorder) All() []Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Latency, 0, kinds)
	for k := range r.rows {
		row := r.rows[k]
		row.Kind = Kind(k)
		out = append(out, row)
	}
	return out
}
