package route

import (
	"cmp"
	"slices"

	"github.com/embercove/embercove/config"
)

// PickBaseline chooses one of the eligible endpoints by a baseline policy, without regard to
// reservations. counter is used by round robin. It returns nil if no endpoint is eligible.
func PickBaseline(list []*State, mode config.PolicyMode, counter uint64, r *Request) *State {
	var eligible []*State
	for _, s := range list {
		if eligibleForModel(s, r) {
			eligible = append(eligible, s)
		}
	}
	n := len(eligible)
	if n == 0 {
		return nil
	}
	slices.SortFunc(eligible, func(a, b *State) int { return cmp.Compare(a.Number, b.Number) })
	switch mode {
	case config.ModeRoundRobin:
		return eligible[counter%uint64(n)]
	case config.ModeTwoChoices:
		a, b := eligible[int(noise(r.Seed, 1)*float64(n))], eligible[int(noise(r.Seed, 2)*float64(n))]
		if knownLoad(b) < knownLoad(a) {
			return b
		}
		return a
	case config.ModeLeastLoad:
		return slices.MinFunc(eligible, func(a, b *State) int { return cmp.Compare(knownLoad(a), knownLoad(b)) })
	default:
		return eligible[int(noise(r.Seed, 0)*float64(n))]
	}
}

// knownLoad returns the load by the last digest plus this host's own requests in flight.
func knownLoad(s *State) float64 {
	if s.Role == config.Prefill {
		return float64(s.Digest.QueueMillis) + 50*float64(s.InFlight)
	}
	used := 1 - float64(s.Digest.FreeTokens)/float64(max(1, s.Spec.MemoryTokens))
	if s.DigestAt.IsZero() {
		used = 0
	}
	return used + float64(s.InFlight)/float64(max(1, s.Spec.Slots))
}
