package intake

import "time"

// Status is the state of a gate as operators see it.
type Status struct {
	Shut        bool    `json:"shut"`
	DelayMillis float64 `json:"delay_ms"` // of calls to other hosts; 0: none, or not measured recently
	ShutCount   uint64  `json:"shut_count"`
	ShutSeconds float64 `json:"shut_s"`  // in total
	Refused     uint64  `json:"refused"` // requests whose connection was open
	Window      int     `json:"window"`  // how many requests may arrive at a time; 0: any number
	Arriving    int     `json:"arriving"`
	// Memory is what callers make the host hold.
	Memory MemoryStatus `json:"memory"`
}

// Status returns the state shown to operators.
func (g *Gate) Status(now time.Time) Status {
	delay := g.Delay(now)
	memory := g.Memory.Status()
	g.mu.Lock()
	defer g.mu.Unlock()
	total := g.shutFor
	if g.shut {
		total += now.Sub(g.changedAt)
	}
	return Status{Shut: g.shut, DelayMillis: float64(delay) / float64(time.Millisecond), ShutCount: g.shutCount, ShutSeconds: total.Seconds(), Refused: g.refused.Load(),
		Window: int(g.window.size), Arriving: g.window.arriving, Memory: memory}
}
