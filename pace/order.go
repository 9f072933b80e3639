package pace

import (
	"math"
	"time"
)

const (
	// MaxWait is how far ahead permits are granted.
	MaxWait = 400 * time.Millisecond
	// waitPerPriority is by how much less far ahead each lower priority may take permits.
	waitPerPriority = 100 * time.Millisecond
	// MinWait is how far ahead anyone may take a permit: starting late is better than being
	// refused.
	MinWait = 100 * time.Millisecond
)

// Requester identifies who requests a permit.
type Requester struct {
	Team     uint32
	Priority int // 0 is the most urgent
}

// Order decides who goes first when more permits are requested than are available. A requester that
// may take permits from further ahead takes them before the others and isn't refused in their
// favor. More urgent requesters may look further ahead, and so may teams that haven't used more
// than others. Some permits go to the first that asks, so that nobody starves while more urgent
// requesters ask for all permits. The zero value has granted nothing.
type Order struct {
	granted int                // permits granted so far
	usage   map[uint32]float64 // permits used by each team, decaying
	at      time.Time          // time of usage
}

const (
	// usageHalfLife is the time after which a permit used by a team counts half.
	usageHalfLife = 2 * time.Second
	// unfairRatio is how many times the least usage of all teams a team's usage must exceed for it
	// to yield. unfairSlack is a number of permits too small to count for that.
	unfairRatio = 1.5
	unfairSlack = 2.0
	// openEvery: one of this many permits goes to the first that asks.
	openEvery = 4
	// maxTeams bounds how many teams are tracked.
	maxTeams = 64
	// minUsage is the usage below which a team is dropped.
	minUsage = 0.05
)

// WaitLimit returns how far ahead a permit may be granted to a requester that would wait for so
// long.
func (o *Order) WaitLimit(now time.Time, a Requester, wait time.Duration) time.Duration {
	o.decay(now)
	if o.granted%openEvery == openEvery-1 {
		return min(wait, MaxWait)
	}
	ahead := MaxWait - time.Duration(max(0, a.Priority))*waitPerPriority
	if o.aboveShare(a.Team) {
		ahead -= waitPerPriority
	}
	return min(wait, max(MinWait, ahead))
}

// aboveShare reports whether a team has used more than its share of the permits.
func (o *Order) aboveShare(team uint32) bool {
	minUsed := math.Inf(1)
	for _, used := range o.usage {
		minUsed = min(minUsed, used)
	}
	return len(o.usage) > 1 && o.usage[team] > unfairRatio*minUsed+unfairSlack
}

// NoteGrant records that a requester was granted a permit.
func (o *Order) NoteGrant(now time.Time, a Requester) {
	o.decay(now)
	o.granted++
	if _, known := o.usage[a.Team]; !known && len(o.usage) >= maxTeams {
		return
	}
	if o.usage == nil {
		o.usage = map[uint32]float64{}
	}
	o.usage[a.Team]++
}

// decay lets past usage count less as time passes.
func (o *Order) decay(now time.Time) {
	if o.at.IsZero() {
		o.at = now
	}
	factor := math.Exp2(-max(0, now.Sub(o.at).Seconds()) / usageHalfLife.Seconds())
	o.at = now
	for team, used := range o.usage {
		if used *= factor; used < minUsage {
			delete(o.usage, team)
			continue
		}
		o.usage[team] = used
	}
}
