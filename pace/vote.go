package pace

import "time"

// Who gives out the starts at an endpoint has the votes of hosts of its failure domain, and
// gives out its part of the bound by them. Each host gives its vote to one at a time, so
// that two who both take themselves for the owner keep below the bound together, whatever
// they see of the others.

const (
	// Lease is for how long a vote counts from when it was asked for. It is asked for
	// every 250 ms, so that one round may be lost whole.
	Lease = 800 * time.Millisecond
	// Binding is for how long a host gives its vote to nobody else: until what was given out by
	// it is used.
	Binding = Lease + MostWait + Lag
	// BindingCold is the same where the endpoint may be cold, and longer by the window that the
	// bound of cold endpoints is counted over, as that bound has no room for two bursts in it.
	BindingCold = Binding + ColdWindow
)

// bindingFor returns for how long a vote for an endpoint is given to nobody else.
func bindingFor(mayBeCold bool) time.Duration {
	if mayBeCold {
		return BindingCold
	}
	return Binding
}

// Holder is a process that asks for votes. One that was started anew knows nothing of
// what its predecessor gave out, and is another.
type Holder struct {
	Host        uint32
	Incarnation uint64
}

// Votes are those that one host gives. Use NewVotes.
type Votes struct {
	began time.Time // the process, or its last waking
	given map[uint32]vote
}

type vote struct {
	to    Holder
	until time.Time
}

// NewVotes returns the votes of a process that begins.
func NewVotes(now time.Time) *Votes { return &Votes{began: now, given: map[uint32]vote{}} }

// Give gives the vote for an endpoint to a holder, and reports whether it did. A process
// that has just begun may have given it to another before, and gives none.
func (v *Votes) Give(now time.Time, endpoint uint32, mayBeCold bool, h Holder) bool {
	bound := bindingFor(mayBeCold)
	if now.Sub(v.began) < bound {
		return false
	}
	if cur, ok := v.given[endpoint]; ok && cur.to != h && now.Before(cur.until) {
		return false
	}
	v.given[endpoint] = vote{h, now.Add(bound)}
	return true
}

// Forget drops votes that bind no longer.
func (v *Votes) Forget(now time.Time) {
	for n, g := range v.given {
		if !now.Before(g.until) {
			delete(v.given, n)
		}
	}
}

// Right is the votes that a holder has for an endpoint. The zero value has none.
type Right struct {
	votes map[uint32]counted // by host
	of    int                // hosts that may vote, by what the holder knows
}

// counted is a vote that a holder has.
type counted struct {
	until time.Time
	of    int // hosts that may vote, by what the one who gave it knows
}

// Ask begins a round of votes among so many hosts. What those know whose votes count still
// holds until they answer: a holder that has met few hosts would else take their votes for
// those of all, at each round for as long as the answers take.
func (r *Right) Ask(of int) { r.of = of }

// Take takes in the vote of a host that was asked for it at a moment; of is how many hosts
// may vote by what that one knows.
func (r *Right) Take(host uint32, asked time.Time, of int) {
	if r.votes == nil {
		r.votes = map[uint32]counted{}
	}
	r.votes[host] = counted{asked.Add(Lease), of}
}

// Part returns the part of the hosts whose votes count.
func (r *Right) Part(now time.Time) float64 {
	n, of := 0, r.of
	for host, v := range r.votes {
		if now.Before(v.until) {
			n++
			of = max(of, v.of)
		} else {
			delete(r.votes, host)
		}
	}
	if n == 0 {
		return 0
	}
	return float64(n) / float64(max(n, of))
}
