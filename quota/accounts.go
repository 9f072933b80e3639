package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Accounts holds the accounts of one host: of the teams whose limits it holds in its failure
// domain, and of what it admits by itself while no holder is reachable.
type Accounts struct {
	mu       sync.Mutex
	id       uint64 // of the next account
	open     map[uint32]*heldAccount
	isolated map[uint32]*IsolatedLimiter
}

// heldAccount is an account with the times of its last requests.
type heldAccount struct {
	*Account
	lastRequest     time.Time
	lastPeerRequest time.Time // last request from another host
}

// idleTimeout is how long an account without requests stays open. Its level reaches the burst long
// before that.
const idleTimeout = time.Minute

// Team is a team's number and limit.
type Team struct {
	Number uint32
	Limit  Limit
}

// NewAccounts returns an empty set of accounts. The salt must differ for each process of a fleet.
func NewAccounts(salt uint64) *Accounts {
	s := &Accounts{id: salt}
	s.Drop()
	return s
}

// Drop discards all accounts. It is called after a pause of the process, as others have held the
// limits meanwhile.
func (s *Accounts) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open, s.isolated = map[uint32]*heldAccount{}, map[uint32]*IsolatedLimiter{}
}

// account returns the account of a team; the caller holds the lock.
func (s *Accounts) account(now time.Time, t Team, r Reachability) *heldAccount {
	h := s.open[t.Number]
	if h == nil {
		s.id++
		h = &heldAccount{Account: OpenAccount(now, s.id, t.Limit, r), lastRequest: now}
		s.open[t.Number] = h
	}
	h.SetLimit(now, t.Limit, r)
	return h
}

// Has reports whether this host has an account of a team.
func (s *Accounts) Has(team uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[team] != nil
}

// Admit asks a team's account on this host to admit n units.
func (s *Accounts) Admit(now time.Time, t Team, n float64, r Reachability) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.account(now, t, r)
	h.lastRequest = now
	return h.Account.Admit(now, n, r)
}

// NotePeerRequest records that another host requests units from a team's account.
func (s *Accounts) NotePeerRequest(now time.Time, team uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.open[team]; h != nil {
		h.lastPeerRequest = now
	}
}

// isolatedAfter is how long a holder that reaches no other failure domain may get no requests from
// other hosts of its own domain until it counts as cut off from those too. If in fact only the
// domains are cut off from each other, either several hosts of the domain request units of the team
// more often than that, or all its requests come to this host, whose own share is then the whole.
const isolatedAfter = 500 * time.Millisecond

// CutOff reports whether this host seems to be cut off from all others, also from those of its own
// failure domain, whose loss it notices only by their silence, seconds later. Until then such a
// holder would let its own callers use the limit of the whole domain.
func (s *Accounts) CutOff(now time.Time, team uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.open[team]
	return h != nil && h.lostAllOthers() && now.Sub(h.lastPeerRequest) > isolatedAfter
}

// Refund refunds the n units of an admitted request that didn't run.
func (s *Accounts) Refund(now time.Time, t Team, n float64, r Reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(now, t, r).Account.Refund(now, n, r)
}

// DueReports returns the reports that are due now, by team, and closes idle accounts.
func (s *Accounts) DueReports(now time.Time) map[uint32]Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due map[uint32]Report
	for team, h := range s.open {
		if now.Sub(h.lastRequest) > idleTimeout {
			delete(s.open, team)
			continue
		}
		if !h.ReportDue(now) {
			continue
		}
		if due == nil {
			due = map[uint32]Report{}
		}
		due[team] = h.Report(now)
		h.NoteReported(now, due[team])
	}
	return due
}

// Observe applies a report of another failure domain's holder of a team, and returns this host's
// own report.
func (s *Accounts) Observe(now time.Time, t Team, domain string, w Report, r Reachability) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.account(now, t, r)
	h.Account.Observe(now, domain, w, r)
	return h.Report(now)
}

// NoteUnreachable records that another failure domain's holder of a team didn't answer.
func (s *Accounts) NoteUnreachable(now time.Time, t Team, domain string, r Reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(now, t, r).Account.NoteUnreachable(now, domain, r)
}

// ObserveAnswer records a holder's answer to a request of n units.
func (s *Accounts) ObserveAnswer(now time.Time, team uint32, n float64, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolatedLimiter(team).ObserveAnswer(now, n, a)
}

// AdmitIsolated reports whether a request of n units is admitted while no holder is reachable. even
// is this host's even share of the fleet, 1/hosts.
func (s *Accounts) AdmitIsolated(now time.Time, t Team, n, even float64) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolatedLimiter(t.Number).Admit(now, n, t.Limit, even)
}

func (s *Accounts) isolatedLimiter(team uint32) *IsolatedLimiter {
	l := s.isolated[team]
	if l == nil {
		l = new(IsolatedLimiter)
		s.isolated[team] = l
	}
	return l
}

// Status is an account as operators see it, in units of the limit.
type Status struct {
	Team        uint32
	Limit       Limit
	Level       float64 // free; at 0 and below requests are refused
	Pace        float64 // admitted a second in this failure domain
	Asked       float64 // requested a second in this failure domain
	Use         float64 // part of the limit that is admitted in all domains
	Unreachable []string
}

// List returns the accounts that this host holds, ordered by team.
func (s *Accounts) List(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Status, 0, len(s.open))
	for team, h := range s.open {
		row := Status{Team: team, Limit: h.limit, Level: h.level, Pace: h.admitted.at(now), Asked: h.Account.demand.at(now), Use: h.use(now)}
		for domain, o := range h.others {
			if o.unreachable {
				row.Unreachable = append(row.Unreachable, domain)
			}
		}
		slices.Sort(row.Unreachable)
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Team, b.Team) })
	return out
}
