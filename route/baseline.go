package route

import (
	"github.com/embercove/embercove/config"
)

// PickOne chooses an endpoint among the candidates by one of the baselines'
// ways, without regard to reservations. turn is a counter for round robin.
// It returns -1 when no candidate is eligible.
func PickOne(v *config.View, states []State, candidates []int, mode config.PolicyMode, turn uint64, r *Request) int {
	n := 0
	for _, i := range candidates {
		if eligible(v, &states[i], r) {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	pick := func(k int) int { return nth(v, states, candidates, k, r) }
	switch mode {
	case config.ModeRoundRobin:
		return pick(int(turn % uint64(n)))
	case config.ModeTwoChoices:
		a, b := pick(int(noise(r.Seed, 1)*float64(n))), pick(int(noise(r.Seed, 2)*float64(n)))
		if lagged(&states[b]) < lagged(&states[a]) {
			return b
		}
		return a
	case config.ModeLagged:
		best := -1
		for _, i := range candidates {
			if s := &states[i]; eligible(v, s, r) && (best < 0 || lagged(s) < lagged(&states[best])) {
				best = i
			}
		}
		return best
	default:
		return pick(int(noise(r.Seed, 0) * float64(n)))
	}
}

func nth(v *config.View, states []State, candidates []int, k int, r *Request) int {
	for _, i := range candidates {
		if !eligible(v, &states[i], r) {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
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
