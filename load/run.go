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

// Run is one measured run on stand-ins.
type Run struct {
	Deployment string
	Mode       config.PolicyMode
	Factor     float64 // of the capacity
	Span       time.Duration
	Leaving    float64
	Seed       uint64
	Hosts      int
	LagMillis  int // of the load that engines report
	Change     func(d *config.Document)
	Network    *fake.Network
	During     func(c *trial.Cluster) // runs beside the load; may be nil
	Arrivals   []Arrival              // made from the seed when nil
	Progress   func(done, started int)
	Fatal      func(msg string)
	Log        *zap.Logger // of every host; nil: none
}

// DefaultHosts is how many entry hosts a deployment of today has.
const DefaultHosts = 8

// DefaultLag is the lag of reported load in runs, in ms.
const DefaultLag = 300

// Do starts a cluster, sends the load and reports. Results are returned for
// callers that judge more.
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
	rs := s.Send(ctx, arrivals)
	time.Sleep(settle)
	rep := Sum(string(r.Mode), rs, c.Truth(), c.Doc.Targets, r.Span)
	rep.Bound = Bound(c.Doc, arrivals, r.Span)
	return rep, rs, nil
}

// settle lets the last cancels arrive before the truth is read.
const settle = 200 * time.Millisecond
