package ledger

import (
	"time"

	"github.com/embercove/embercove/result"
)

// refusedRequest is a request that was refused for lack of memory and is expected to come again.
// Teams that hold more than its own leave memory free for it.
type refusedRequest struct {
	team   uint32
	tokens int
	until  time.Time
}

// refusedGrace is how much longer than its announced retry time a refused request is remembered.
const refusedGrace = 300 * time.Millisecond

// heldBy returns the memory that a team holds, divided by its weight.
func (l *Ledger) heldBy(team uint32, weights func(uint32) float64) float64 {
	sum := 0
	for _, r := range l.rows {
		if r.team == team {
			sum += r.tokens
		}
	}
	return float64(sum) / weights(team)
}

// reservedForOthers returns the memory that a request has to leave for others that were refused
// before and whose teams hold less.
func (l *Ledger) reservedForOthers(now time.Time, a Request, weights func(uint32) float64) int {
	reserved, own := 0, l.heldBy(a.Team, weights)
	for id, w := range l.refused {
		switch {
		case now.After(w.until) || id == a.Attempt.ID:
			delete(l.refused, id)
		case w.team != a.Team && l.heldBy(w.team, weights) < own:
			reserved += w.tokens
		}
	}
	return reserved
}

// fairShareFrom is the part of the memory above which a team gets no more than its fair share.
const fairShareFrom = 0.85

// fair reports whether a team may take more memory at a time: below fairShareFrom any team may,
// above it only one that stays within its fair share among the teams present.
func (l *Ledger) fair(now, at time.Time, team uint32, tokens int, weights func(uint32) float64) bool {
	capacity := float64(l.spec.MemoryTokens) * l.share
	if l.at(now, at).tokens+float64(tokens) <= fairShareFrom*capacity {
		return true
	}
	own, sum := tokens, weights(team)
	seen := map[uint32]bool{team: true}
	for _, r := range l.rows {
		if r.team == team {
			own += r.tokens
		} else if !seen[r.team] {
			seen[r.team] = true
			sum += weights(r.team)
		}
	}
	return len(seen) == 1 || float64(own) <= capacity*weights(team)/sum
}

// refuse refuses a request and remembers that it needs memory.
func (l *Ledger) refuse(now time.Time, a Request, within, retryAfter time.Duration) *result.Error {
	l.refused[a.Attempt.ID] = refusedRequest{team: a.Team, tokens: a.Tokens + a.MaxAnswer, until: now.Add(retryAfter + refusedGrace)}
	return result.Errorf(result.NoDecodeMemory, "no decode memory on %s within %s", l.spec.Name, within).After(retryAfter)
}
