package route

import (
	"cmp"
	"slices"

	"github.com/embercove/embercove/config"
)

// PickOne chooses an endpoint among the candidates by one of the baselines'
// ways, without regard to reservations. turn is a counter for round robin.
// It returns nil when no candidate is eligible.
func PickOne(list []*State, mode config.PolicyMode, turn uint64, r *Request) *State {
	var open []*State
	for _, s := range list {
		if eligible(s, r) {
			open = append(open, s)
		}
	}
	n := len(open)
	if n == 0 {
		return nil
	}
	slices.SortFunc(open, func(a, b *State) int { return cmp.Compare(a.Number, b.Number) })
	switch mode {
	case config.ModeRoundRobin:
		return open[turn%uint64(n)]
	case config.ModeTwoChoices:
		a, b := open[int(noise(r.Seed, 1)*float64(n))], open[int(noise(r.Seed, 2)*float64(n))]
		if lagged(b) < lagged(a) {
			return b
		}
		return a
	case config.ModeLagged:
		return slices.MinFunc(open, func(a, b *State) int { return cmp.Compare(lagged(a), lagged(b)) })
	default:
		return open[int(noise(r.Seed, 0)*float64(n))]
	}
}

// lagged is the load that the last report gave, with what this host has sent
// itself.
func lagged(s *State) float64 {
	if s.Role == config.Prefill {
		return float64(s.Digest.QueueMillis) + 50*float64(s.Sent)
	}
	used := 1 - float64(s.Digest.FreeTokens)/float64(max(1, s.Spec.MemoryTokens))
	if s.At.IsZero() {
		used = 0
	}
	return used + float64(s.Sent)/float64(max(1, s.Spec.Slots))
}
