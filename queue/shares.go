package queue

import (
	"math"
	"time"
)

// shareDecay is the time constant with which a team's past use of an engine decays.
const shareDecay = 10 * time.Second

// teamShares tracks each team's use of one engine: the work that waits and the work sent recently,
// decaying with shareDecay. Each owner sees only its own part of a team's requests. As these are
// spread over endpoints, fair shares at each engine make fair shares overall, without shared state.
type teamShares struct {
	weight func(team uint32) float64
	teams  map[uint32]*teamUse
}

type teamUse struct {
	recent  float64 // seconds of work, as of at
	at      time.Time
	waiting time.Duration
}

func newTeamShares(weight func(uint32) float64) *teamShares {
	return &teamShares{weight: weight, teams: map[uint32]*teamUse{}}
}

func (s *teamShares) team(t uint32) *teamUse {
	u := s.teams[t]
	if u == nil {
		u = new(teamUse)
		s.teams[t] = u
	}
	return u
}

func (u *teamUse) decay(now time.Time) {
	u.recent *= math.Exp(-now.Sub(u.at).Seconds() / shareDecay.Seconds())
	u.at = now
}

func (s *teamShares) addUse(now time.Time, team uint32, work time.Duration) {
	u := s.team(team)
	u.decay(now)
	u.recent += work.Seconds()
}

func (s *teamShares) addWaiting(team uint32, work time.Duration) { s.team(team).waiting += work }

// use returns a team's use divided by its weight, in seconds of work.
func (s *teamShares) use(now time.Time, team uint32) float64 {
	u := s.team(team)
	u.decay(now)
	return (u.recent + u.waiting.Seconds()) / s.weight(team)
}

// dropIdle drops teams with negligible use.
func (s *teamShares) dropIdle(now time.Time) {
	for t, u := range s.teams {
		u.decay(now)
		if u.recent < 1e-3 && u.waiting <= 0 {
			delete(s.teams, t)
		}
	}
}
