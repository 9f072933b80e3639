package slope

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/trial"
)

// Latency compares the time to first token through an entry host with that of
// calls to the same stand-ins directly, first prefill and then decode.
type Latency struct {
	Pairs          int
	Direct, Routed time.Duration // medians
	Added          time.Duration // median of the differences
	AddedP95       time.Duration // 95th percentile of the differences
}

// MeasureLatency sends pairs of short requests on an idle deployment: one directly to
// the stand-ins and one, longer by one byte, through an entry host.
func MeasureLatency(pairs int) (Latency, error) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: 3, Change: func(d *config.Document) {
		for i := range d.Endpoints {
			d.Endpoints[i].StepMicros = 1000
		}
	}})
	if err != nil {
		return Latency{}, err
	}
	defer c.Stop()
	time.Sleep(time.Second)
	client := endpoint.NewClient(nil, nil)
	defer client.CloseIdle()
	var direct, routed, added []time.Duration
	for i := range pairs {
		prompt := fmt.Sprintf("Hvenær er þinghald í máli %d?", i)
		d, err := measureDirect(c, client, i, prompt)
		if err != nil {
			return Latency{}, err
		}
		s := load.Sender{Addresses: c.Callers(), Model: load.Mixes["domaskra"].Model}
		rs := s.Send(context.Background(), []load.Arrival{{Kind: "question", Team: "press", Prompt: prompt + "!", MaxTokens: 4, Host: i}})
		direct, routed, added = append(direct, d), append(routed, rs[0].TTFT), append(added, rs[0].TTFT-d)
	}
	at := func(ds []time.Duration, q float64) time.Duration {
		sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
		return ds[int(q*float64(len(ds)-1))]
	}
	return Latency{Pairs: pairs, Direct: at(direct, 0.5), Routed: at(routed, 0.5), Added: at(added, 0.5), AddedP95: at(added, 0.95)}, nil
}

// measureDirect calls a prefill and then a decode stand-in and returns the time to
// first token.
func measureDirect(c *trial.Cluster, client *endpoint.Client, n int, prompt string) (time.Duration, error) {
	var pre, dec []config.Endpoint
	for _, e := range c.Doc.Endpoints {
		switch e.Role {
		case config.Prefill:
			pre = append(pre, e)
		case config.Decode:
			dec = append(dec, e)
		}
	}
	call := endpoint.Call{Address: pre[n%len(pre)].Address, Attempt: fmt.Sprintf("direct-%d", n), Repeatable: true}
	work := &endpoint.Work{Completion: endpoint.Completion{Model: pre[0].Model, Prompt: prompt, MaxTokens: 4}}
	start := time.Now()
	ans, err := client.Prefill(context.Background(), call, work)
	if err != nil {
		return 0, err
	}
	call.Address, work.Transfer = dec[n%len(dec)].Address, ans.Transfer
	s, err := client.Decode(context.Background(), call, work)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		if err != nil {
			return 0, err
		}
		if len(chunk.Choices) > 0 {
			return time.Since(start), nil
		}
	}
}
