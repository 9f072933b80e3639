package entry

import "sync"

// Sizes of a retry budget, in retries.
const (
	budgetStart = 2.0
	budgetMost  = 10.0
	maxBudgets  = 4096
)

// budgets bound retries: each team and each endpoint has a share of its
// recent successes to spend, so that failing endpoints are not met with a
// storm of further tries. The zero value works.
type budgets struct {
	mu   sync.Mutex
	left map[string]float64
}

func (b *budgets) get(name string) float64 {
	if b.left == nil {
		b.left = map[string]float64{}
	}
	n, ok := b.left[name]
	if !ok {
		return budgetStart
	}
	return n
}

func (b *budgets) put(name string, n float64) {
	if _, ok := b.left[name]; ok || len(b.left) < maxBudgets {
		b.left[name] = n
	}
}

// take spends one retry of the team and of the endpoint that failed, if both
// have one left.
func (b *budgets) take(team, endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, e := b.get("t/"+team), b.get("e/"+endpoint)
	if t < 1 || e < 1 {
		return false
	}
	b.put("t/"+team, t-1)
	b.put("e/"+endpoint, e-1)
	return true
}

// earn adds a share of a retry to both after a success.
func (b *budgets) earn(team, endpoint string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range []string{"t/" + team, "e/" + endpoint} {
		b.put(name, min(budgetMost, b.get(name)+share))
	}
}
