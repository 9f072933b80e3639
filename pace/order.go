package pace

import (
	"math"
	"time"
)

const (
	// MostWait is how far ahead starts are given out.
	MostWait = 400 * time.Millisecond
	// rankWait is by how much less far ahead each lower priority looks.
	rankWait = 100 * time.Millisecond
	// LeastWait is how far ahead a start is given out to anybody: late is better than refused.
	LeastWait = 100 * time.Millisecond
)

// Asker is who asks for a start.
type Asker struct {
	Team     uint32
	Priority int // 0 first
}

// Order says who goes first where more is asked than may start. Who looks further ahead than
// others takes the starts before them and isn't refused for their sake: the more urgent, and
// teams that have had no more than others. Some starts go to whoever asks first, so that nobody
// is shut out where the more urgent ask for all there is. The zero value has seen nobody.
type Order struct {
	given int                // starts so far
	had   map[uint32]float64 // starts that teams had, fading
	at    time.Time          // of had
}

const (
	// orderHalf is the time after which a start that a team had counts half.
	orderHalf = 2 * time.Second
	// unfair is how far above the least of all teams one's starts must be for it to give way,
	// and orderGrain is a number of starts that is too little for that.
	unfair     = 1.5
	orderGrain = 2.0
	// openEach is of how many starts one goes to whoever asks first.
	openEach = 4
	// mostTeams bounds how many teams are remembered.
	mostTeams = 64
	// forgotten is what is left of a team's starts when it is forgotten.
	forgotten = 0.05
)

// Ahead returns how far ahead a start may be given out to one that would wait for so long.
func (o *Order) Ahead(now time.Time, a Asker, wait time.Duration) time.Duration {
	o.fade(now)
	if o.given%openEach == openEach-1 {
		return min(wait, MostWait)
	}
	ahead := MostWait - time.Duration(max(0, a.Priority))*rankWait
	if o.above(a.Team) {
		ahead -= rankWait
	}
	return min(wait, max(LeastWait, ahead))
}

// above reports whether a team has had more than its share of the starts.
func (o *Order) above(team uint32) bool {
	least := math.Inf(1)
	for _, had := range o.had {
		least = min(least, had)
	}
	return len(o.had) > 1 && o.had[team] > unfair*least+orderGrain
}

// Had notes that one who asked was given a start.
func (o *Order) Had(now time.Time, a Asker) {
	o.fade(now)
	o.given++
	if _, known := o.had[a.Team]; !known && len(o.had) >= mostTeams {
		return
	}
	if o.had == nil {
		o.had = map[uint32]float64{}
	}
	o.had[a.Team]++
}

// fade has starts count less as time passes.
func (o *Order) fade(now time.Time) {
	if o.at.IsZero() {
		o.at = now
	}
	left := math.Exp2(-max(0, now.Sub(o.at).Seconds()) / orderHalf.Seconds())
	o.at = now
	for team, had := range o.had {
		if had *= left; had < forgotten {
			delete(o.had, team)
			continue
		}
		o.had[team] = had
	}
}
