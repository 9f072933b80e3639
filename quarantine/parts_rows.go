package quarantine

import (
	"slices"
	"time"

	"github.com/embercove/embercove/request"
)

// PartRow describes a part for operators.
type PartRow struct {
	Part     Part
	Verdict  Verdict
	Backoff  time.Duration
	Crashes  int // since it was last written on without one
	Requests int // different ones
	Team     uint32
	Endpoint string // that crashed last
	Host     string // that observed it
	Age      time.Duration
	With     []string // names of parts that can't be told apart from it
}

// Rows lists the parts that crashes count against.
func (p *Parts) Rows(now time.Time) (rows []PartRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := map[request.Fingerprint]string{}
	for _, c := range p.crashes {
		for _, s := range c.Parts {
			names[s.Part] = s.Name
		}
	}
	for key := range p.byPart {
		counted := p.counted(key)
		if len(counted) == 0 {
			continue
		}
		j, last := p.judge(key, now), counted[len(counted)-1]
		row := PartRow{Part: Part{key, names[key]}, Verdict: j.verdict, Backoff: max(0, j.backoff), Crashes: j.crashes, Requests: j.requests, Team: last.Team,
			Endpoint: last.Endpoint, Host: last.Host, Age: now.Sub(last.at)}
		for _, with := range j.with {
			row.With = append(row.With, names[with])
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b PartRow) int { return int(b.Verdict)*1000 + b.Crashes - int(a.Verdict)*1000 - a.Crashes })
	return rows
}
