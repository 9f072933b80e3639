package queue

import (
	"math"
	"time"
)

// shareMemory is how long past use of an engine counts against a team.
const shareMemory = 10 * time.Second

// shares accounts for each team's use of one engine: what waits, and what
// was called lately, fading with shareMemory. Each owner sees its own part of
// a team's requests; as these are spread over endpoints, fair parts here make
// fair parts overall, without shared state.
type shares struct {
	weight func(team uint32) float64
	teams  map[uint32]*teamUse
}

type teamUse struct {
	recent  float64 // seconds of work, as of at
	at      time.Time
	waiting time.Duration
}

func newShares(weight func(uint32) float64) *shares {
	return &shares{weight: weight, teams: map[uint32]*teamUse{}}
}

func (s *shares) team(t uint32) *teamUse {
	u := s.teams[t]
	if u == nil {
		u = new(teamUse)
		s.teams[t] = u
	}
	return u
}

func (u *teamUse) fade(now time.Time) {
	u.recent *= math.Exp(-now.Sub(u.at).Seconds() / shareMemory.Seconds())
	u.at = now
}

func (s *shares) add(now time.Time, team uint32, work time.Duration) {
	u := s.team(team)
	u.fade(now)
	u.recent += work.Seconds()
}

func (s *shares) wait(team uint32, work time.Duration) { s.team(team).waiting += work }

// use returns a team's use for each unit of its weight, in seconds of work.
func (s *shares) use(now time.Time, team uint32) float64 {
	u := s.team(team)
	u.fade(now)
	return (u.recent + u.waiting.Seconds()) / s.weight(team)
}

// forget drops teams without any use worth counting.
func (s *shares) forget(now time.Time) {
	for t, u := range s.teams {
		u.fade(now)
		if u.recent < 1e-3 && u.waiting <= 0 {
			delete(s.teams, t)
		}
	}
}
