package load

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/trial"
)

// Run configures one measured run on stand-ins.
type Run struct {
	Deployment string
	Mode       config.PolicyMode
	Factor     float64 // load, as a share of Mix.Capacity
	Span       time.Duration
	Leaving    float64 // share of callers that leave during prefill
	Seed       uint64
	Hosts      int
	LagMillis  int // age of the load that engines report
	Change     func(d *config.Document)
	Network    *fake.Network
	During     func(c *trial.Cluster) // runs concurrently with the load; may be nil
	Arrivals   []Arrival              // nil: generated from the seed
	Progress   func(done, started int)
	Fatal      func(msg string)
	Log        *zap.Logger // log of every host; nil: none
}

// DefaultHosts is the number of entry hosts of a typical deployment.
const DefaultHosts = 8

// DefaultLag is the age of reported load in runs, in milliseconds.
const DefaultLag = 300

// Do starts a cluster, sends the load and returns the report. It also returns the
// results, for callers with further checks.
func (r Run) Do(ctx context.Context) (Report, []Result, error) {
	mix := Mixes[r.Deployment]
	hosts := r.Hosts
	if hosts == 0 {
		hosts = DefaultHosts
	}
	c, err := trial.Start(trial.Options{Document: examples.Document(r.Deployment), Hosts: hosts, Network: r.Network, Fatal: r.Fatal, Log: r.Log,
		Faults: func(string) fake.Faults { return fake.Faults{LagMillis: r.LagMillis} },
		Change: func(d *config.Document) {
			if r.Mode != "" {
				d.Policy.Mode = r.Mode
			}
			if r.Change != nil {
				r.Change(d)
			}
		}})
	if err != nil {
		return Report{}, nil, err
	}
	defer c.Stop()
	arrivals := r.Arrivals
	if arrivals == nil {
		arrivals = mix.Arrivals(r.Seed, r.Factor*mix.Capacity(c.Doc).Rate, r.Span, r.Leaving)
	}
	s := &Sender{Addresses: c.Callers(), Dial: c.ClientDial("callers"), Model: mix.Model, Progress: r.Progress}
	if r.During != nil {
		go r.During(c)
	}
	results := s.Send(ctx, arrivals)
	time.Sleep(settleTime)
	report := Summarize(string(r.Mode), results, c.Records(), c.Doc.Targets, r.Span)
	report.Bound = Bound(c.Doc, arrivals, r.Span)
	return report, results, nil
}

// settleTime is how long the last cancellations may take to arrive before the
// stand-ins' records are read.
const settleTime = 200 * time.Millisecond
