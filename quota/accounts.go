package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Accounts are those of one host: of the teams whose limits it holds in its failure
// domain, and what it lets in by itself where no holder is in reach.
type Accounts struct {
	mu   sync.Mutex
	id   uint64 // of the next account
	open map[uint32]*held
	lone map[uint32]*Lone
}

// held is an account with when it was last asked.
type held struct {
	*Account
	asked   time.Time
	byOther time.Time // when another host last asked it
}

// keptIdle is how long an account stays open that is asked for nothing. Its level is at
// the burst long before.
const keptIdle = time.Minute

// Team is a team by its number, with its limit.
type Team struct {
	Number uint32
	Limit  Limit
}

// NewAccounts returns no accounts. The salt is another for each process of a fleet.
func NewAccounts(salt uint64) *Accounts {
	s := &Accounts{id: salt}
	s.Drop()
	return s
}

// Drop forgets all. After a pause of the process others have held the limits.
func (s *Accounts) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open, s.lone = map[uint32]*held{}, map[uint32]*Lone{}
}

// account returns the account of a team; the caller holds the lock.
func (s *Accounts) account(now time.Time, t Team, r Reach) *held {
	h := s.open[t.Number]
	if h == nil {
		s.id++
		h = &held{Account: Open(now, s.id, t.Limit, r), asked: now}
		s.open[t.Number] = h
	}
	h.SetLimit(now, t.Limit, r)
	return h
}

// Open reports whether this host has an account of a team.
func (s *Accounts) Open(team uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[team] != nil
}

// Ask asks the account of a team that this host holds to let n in.
func (s *Accounts) Ask(now time.Time, t Team, n float64, r Reach) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.account(now, t, r)
	h.asked = now
	return h.Account.Ask(now, n, r)
}

// Asked notes that another host asks the account of a team.
func (s *Accounts) Asked(now time.Time, team uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.open[team]; h != nil {
		h.byOther = now
	}
}

// aloneAfter is how long a holder that hears no other failure domain may be asked by no
// other host of its own until it counts as cut off. Where all are cut off, a team is
// asked for more often than that by several hosts, or this one's own part is the whole.
const aloneAfter = 500 * time.Millisecond

// CutOff reports whether a team's account is one of a host that seems to be cut off from
// all others, also those of its own failure domain, which it will notice only by their
// silence, seconds later. Such a holder let its own callers use the limit of the whole
// domain meanwhile.
func (s *Accounts) CutOff(now time.Time, team uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[team]
	return h != nil && h.hearsNone() && now.Sub(h.byOther) > aloneAfter
}

// Return gives back to an account what was let in and didn't run.
func (s *Accounts) Return(now time.Time, t Team, n float64, r Reach) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(now, t, r).Account.Return(now, n, r)
}

// Due returns what should be told of now, by team, and closes idle accounts.
func (s *Accounts) Due(now time.Time) map[uint32]Word {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due map[uint32]Word
	for team, h := range s.open {
		if now.Sub(h.asked) > keptIdle {
			delete(s.open, team)
			continue
		}
		if !h.Due(now) {
			continue
		}
		if due == nil {
			due = map[uint32]Word{}
		}
		due[team] = h.Tell(now)
		h.Told(now, due[team])
	}
	return due
}

// Hear takes in what another failure domain's holder tells of a team, and returns what
// is known here.
func (s *Accounts) Hear(now time.Time, t Team, domain string, w Word, r Reach) Word {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.account(now, t, r)
	h.Account.Hear(now, domain, w, r)
	return h.Tell(now)
}

// Miss notes that another failure domain's holder of a team didn't answer.
func (s *Accounts) Miss(now time.Time, t Team, domain string, r Reach) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(now, t, r).Account.Miss(now, domain, r)
}

// Passed notes what a holder answered to a request of n.
func (s *Accounts) Passed(now time.Time, team uint32, n float64, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone(team).Passed(now, n, a)
}

// Alone lets a request of n in, or doesn't, where no holder is in reach. even is this
// host's even part of the fleet.
func (s *Accounts) Alone(now time.Time, t Team, n, even float64) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone(t.Number).Ask(now, n, t.Limit, even)
}

func (s *Accounts) alone(team uint32) *Lone {
	l := s.lone[team]
	if l == nil {
		l = new(Lone)
		s.lone[team] = l
	}
	return l
}

// Status is an account as operators see it. Figures are in units of the limit.
type Status struct {
	Team   uint32
	Limit  Limit
	Level  float64 // free; 0 and below: requests are refused
	Pace   float64 // let in a second in this failure domain
	Asked  float64 // asked a second in this failure domain
	Use    float64 // part of the limit that is let in everywhere
	Missed []string
}

// List returns the accounts that this host holds, ordered by team.
func (s *Accounts) List(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Status, 0, len(s.open))
	for team, h := range s.open {
		row := Status{Team: team, Limit: h.limit, Level: h.level, Pace: h.letIn.at(now), Asked: h.Account.asked.at(now), Use: h.use(now)}
		for domain, o := range h.others {
			if o.missed {
				row.Missed = append(row.Missed, domain)
			}
		}
		slices.Sort(row.Missed)
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Team, b.Team) })
	return out
}
