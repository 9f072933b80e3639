package ledger

import (
	"time"

	"github.com/embercove/embercove/result"
)

// want is a request that was refused for lack of room and is expected to ask
// again. Room is left for it by teams that hold more than its own.
type want struct {
	team   uint32
	tokens int
	until  time.Time
}

// wantKept is how much longer than it was told to wait a request's want is
// remembered.
const wantKept = 300 * time.Millisecond

// heldBy returns the memory that a team holds, for each unit of its weight.
func (l *Ledger) heldBy(team uint32, weights func(uint32) float64) float64 {
	sum := 0
	for _, r := range l.rows {
		if r.team == team {
			sum += r.tokens
		}
	}
	return float64(sum) / weights(team)
}

// owed returns the room that a request has to leave for others that were
// refused before and whose teams hold less.
func (l *Ledger) owed(now time.Time, a Ask, weights func(uint32) float64) int {
	owed, own := 0, l.heldBy(a.Team, weights)
	for id, w := range l.wants {
		switch {
		case now.After(w.until) || id == a.Attempt.ID:
			delete(l.wants, id)
		case w.team != a.Team && l.heldBy(w.team, weights) < own:
			owed += w.tokens
		}
	}
	return owed
}

// fairShareFrom is the share of the memory above which a team gets no more than
// its fair part.
const fairShareFrom = 0.85

// fair reports whether a team may take more at a moment: below fairShareFrom
// anyone may, above it only who stays within the fair part of the teams that
// are there.
func (l *Ledger) fair(now, at time.Time, team uint32, tokens int, weights func(uint32) float64) bool {
	room := float64(l.spec.MemoryTokens) * l.share
	if l.at(now, at).tokens+float64(tokens) <= fairShareFrom*room {
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
	return len(seen) == 1 || float64(own) <= room*weights(team)/sum
}

// refuse refuses a request and remembers that it wants room.
func (l *Ledger) refuse(now time.Time, a Ask, within, back time.Duration) *result.Error {
	l.wants[a.Attempt.ID] = want{team: a.Team, tokens: a.Tokens + a.MaxAnswer, until: now.Add(back + wantKept)}
	return result.Errorf(result.NoDecodeMemory, "no decode memory on %s within %s", l.spec.Name, within).After(back)
}
