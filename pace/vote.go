package pace

import "time"

// The host that grants the start permits of an endpoint collects votes from the hosts of the
// endpoint's failure domain, and grants the share of the bound for which it has votes. Each host
// gives its vote to one holder at a time. So two hosts that both consider themselves the owner stay
// below the bound together, whichever other hosts each of them can reach.

const (
	// Lease is how long a vote counts, from the time of the request for it. Votes are requested
	// every 250 ms, so one whole round may be lost.
	Lease = 800 * time.Millisecond
	// Binding is how long a host gives its vote to nobody else: until the permits granted by that
	// vote have been used.
	Binding = Lease + MaxWait + Lag
	// BindingCold is the binding time for an endpoint that may be cold. It is longer by the window
	// over which the bound of cold endpoints is counted, as two bursts within one window would exceed
	// that bound.
	BindingCold = Binding + ColdWindow
)

// bindingFor returns how long a vote for an endpoint is given to nobody else.
func bindingFor(canBeCold bool) time.Duration {
	if canBeCold {
		return BindingCold
	}
	return Binding
}

// Holder is a process that requests votes. A restarted process is another holder: it doesn't know
// which permits its predecessor granted.
type Holder struct {
	Host        uint32
	Incarnation uint64
}

// Votes tracks the votes that one host gives. Use NewVotes.
type Votes struct {
	started time.Time // start of the process, or its last wake-up
	given   map[uint32]vote
}

type vote struct {
	holder Holder
	until  time.Time
}

// NewVotes returns the votes of a process that starts now.
func NewVotes(now time.Time) *Votes { return &Votes{started: now, given: map[uint32]vote{}} }

// Grant gives the vote for an endpoint to a holder, and reports whether it did. A process that has
// just started grants none, as its predecessor may have given the vote to another holder.
func (v *Votes) Grant(now time.Time, endpoint uint32, canBeCold bool, h Holder) bool {
	binding := bindingFor(canBeCold)
	if now.Sub(v.started) < binding {
		return false
	}
	if cur, ok := v.given[endpoint]; ok && cur.holder != h && now.Before(cur.until) {
		return false
	}
	v.given[endpoint] = vote{h, now.Add(binding)}
	return true
}

// DropExpired drops votes that no longer bind.
func (v *Votes) DropExpired(now time.Time) {
	for n, g := range v.given {
		if !now.Before(g.until) {
			delete(v.given, n)
		}
	}
}

// GrantedVotes holds the votes that a holder was given for an endpoint. The zero value has none.
type GrantedVotes struct {
	votes  map[uint32]grantedVote // by host
	voters int                    // hosts that may vote, as far as the holder knows
}

// grantedVote is one vote that a holder was given.
type grantedVote struct {
	until  time.Time
	voters int // hosts that may vote, as far as the voter knows
}

// BeginRound begins a round of votes among this many hosts. What the hosts with valid votes know of
// the number of voters holds until they answer. Otherwise a holder that knows few hosts would take
// their votes for all votes, in each round until the answers arrive.
func (r *GrantedVotes) BeginRound(voters int) { r.voters = voters }

// AddVote records the vote of a host. requestedAt is when the vote was requested, and voters is how
// many hosts may vote as far as that host knows.
func (r *GrantedVotes) AddVote(host uint32, requestedAt time.Time, voters int) {
	if r.votes == nil {
		r.votes = map[uint32]grantedVote{}
	}
	r.votes[host] = grantedVote{requestedAt.Add(Lease), voters}
}

// Share returns the share of the voters whose votes are valid.
func (r *GrantedVotes) Share(now time.Time) float64 {
	n, voters := 0, r.voters
	for host, v := range r.votes {
		if now.Before(v.until) {
			n++
			voters = max(voters, v.voters)
		} else {
			delete(r.votes, host)
		}
	}
	if n == 0 {
		return 0
	}
	return float64(n) / float64(max(n, voters))
}
