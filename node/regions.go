package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/region"
)

// RegionStatus is the state of a remote region as this host sees it.
type RegionStatus struct {
	Region          string       `json:"region"`
	RoundTripMillis float64      `json:"trip_ms"` // round trip of a message
	Redirected      uint64       `json:"left"`    // requests redirected to it
	Avoided         bool         `json:"quiet"`   // avoided: an owner there didn't answer just now
	Pools           []PoolStatus `json:"pools"`
}

// PoolStatus is what is known of a pool in a remote region.
type PoolStatus struct {
	Pool       string  `json:"pool"`
	Capacity   uint32  `json:"places"` // capacity that it offers to all other regions
	WaitMillis float64 `json:"wait_ms"`
	AgeSeconds float64 `json:"age_s"` // of the latest summary; -1: none was received
	Trust      float64 `json:"trust"` // weight of the summary, which falls with its age from 1 to 0
	Sent       int     `json:"sent"`  // requests that this host has sent since the summary was made
}

// regions lists the remote regions.
func (n *Node) regions(v *config.View, now time.Time) (out []RegionStatus) {
	for _, name := range v.RegionNames {
		if name == n.settings.Region {
			continue
		}
		number := config.NameNumber(name)
		row := RegionStatus{Region: name, RoundTripMillis: float64(n.Board.Regions.RoundTrip(number).Microseconds()) / 1000,
			Redirected: n.Board.Regions.Redirected(number), Avoided: n.Board.Regions.Avoided(number, now)}
		for _, pool := range poolNames(v, name) {
			row.Pools = append(row.Pools, n.poolStatus(number, pool, now))
		}
		out = append(out, row)
	}
	return out
}

func (n *Node) poolStatus(number uint32, pool string, now time.Time) PoolStatus {
	t := n.Board.Regions.Find(number, config.NameNumber(pool), now)
	out := PoolStatus{Pool: pool, Capacity: t.Capacity, WaitMillis: float64(t.WaitMillis), AgeSeconds: -1, Sent: t.Sent}
	if t.Known {
		out.AgeSeconds, out.Trust = t.Age.Seconds(), region.Trust(t.Age)
	}
	return out
}

// poolNames returns the names of the pools with endpoints in a region. For endpoints without
// a pool it is the name of their model.
func poolNames(v *config.View, regionName string) (names []string) {
	seen := map[string]bool{}
	for _, e := range v.Endpoints.All() {
		name := e.Pool
		if name == "" {
			name = e.Model
		}
		if v.Region[e.Domain] == regionName && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

// registerRegions registers the counters of redirected requests by pair of regions, and of
// requests not redirected by reason. There are few pairs: a document names at most 63 regions,
// and the first of a pair is always this host's.
func registerRegions(n *Node, meter metric.Meter) error {
	_, err := meter.Float64ObservableCounter("region_left", metric.WithDescription("requests that left this host's region for another"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			v := n.Board.Config.View()
			if v == nil {
				return nil
			}
			for _, r := range n.regions(v, time.Now()) {
				o.Observe(float64(r.Redirected), metric.WithAttributes(attribute.String("from", n.settings.Region), attribute.String("to", r.Region)))
			}
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableCounter("region_stayed", metric.WithDescription("other regions that a request could not leave for, by reason"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for v, c := range n.Board.Regions.NotRedirected() {
				if c > 0 {
					o.Observe(float64(c), metric.WithAttributes(attribute.String("reason", region.Verdict(v).String())))
				}
			}
			return nil
		}))
	return err
}
