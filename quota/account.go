package quota

import (
	"time"
)

// Limit is what a team may ask over all hosts together, in units of its quota.
type Limit struct {
	Rate  float64 // a second
	Burst float64 // on top
	// Spare is let in beyond the burst, so that nothing within the limit is refused
	// because what is known of others lags.
	Spare float64
}

// Reach is what a holder has in reach.
type Reach struct {
	Domains []string // the other failure domains, of all regions
	// Part is the part of the own domain's hosts that is in reach, this one
	// among them: 1 if all are.
	Part float64
	// Settled says that no other host can have held limits of the domain lately.
	Settled bool
}

// Word is what a holder tells others of its account.
type Word struct {
	Holder uint64  // changes with the host, its process and the account
	Used   float64 // let in since the account was opened
	Pace   float64 // let in a second, lately
	Asked  float64 // asked a second, lately
}

// Answer is what becomes of a request.
type Answer struct {
	OK    bool
	After time.Duration // of a refusal: when a request of its size fits
	// Use is the part of the limit that all holders together let in lately.
	Use float64
	// Level is how much is free by what the holder knows, in units.
	Level float64
}

// Spans and shares of accounts. The limits that they defend let a quarter more in over
// eight seconds, and some requests besides.
const (
	// leastShare is the part of an even share that a failure domain has in any
	// case, when it is cut off after it was asked for nothing. With three domains
	// all shares together come to at most 1.17 of the limit.
	leastShare = 0.25
	// partSpare lets the rest of a domain use a tenth more than its part, since
	// hosts that are out of reach are mostly gone and let nothing in.
	partSpare = 1.1
	// opened is the level of a new account, in seconds of its own rate: it knows
	// nothing of what others before it have let in. All holders of a team that
	// start at once give away half a second of its rate together.
	opened = 0.5 // s
	// leastBurst is the least level that an account may rise to, in seconds of the
	// rate, for limits without a burst.
	leastBurst = 0.25 // s
	// mostDebt bounds what an account may owe after it heard of much that others
	// let in, in seconds of the rate: what is longer ago binds nobody any more.
	mostDebt = 2.0 // s
	// longestWait bounds what a refused caller is told. Beyond it the forecast says
	// little, as callers give up.
	longestWait = 8 * time.Second
)

// other is what is known of another failure domain's holder.
type other struct {
	word    Word
	missed  bool    // it has not answered since: it counts as out of reach
	part    float64 // of what was asked in all, when it was missed
	assumed float64 // taken to be let in since then
}

// Account is what a holder knows of a team's use of its limit.
type Account struct {
	id       uint64
	limit    Limit
	level    float64 // units free, by all that is known; 0 and below: nothing
	at       time.Time
	used     float64
	letIn    meter
	asked    meter
	others   map[string]*other // by failure domain
	promised time.Time         // until when what will be free was promised to refused callers

	told   Word
	toldAt time.Time
}

// Open returns the account of a holder that begins to hold a team's limit. The id
// has to be another for each account. Where no other host can have let anything in it
// begins with the burst: with the little of an unsettled one, requests within the limit would
// be refused in the first seconds after all hosts have started.
func Open(now time.Time, id uint64, l Limit, r Reach) *Account {
	a := &Account{id: id, limit: l, at: now, others: map[string]*other{}}
	a.level = opened * a.accrual(now, r)
	if r.Settled {
		a.level = a.most(r)
	}
	return a
}

// SetLimit has another limit hold from now on.
func (a *Account) SetLimit(now time.Time, l Limit, r Reach) {
	if l == a.limit {
		return
	}
	a.advance(now, r)
	a.limit = l
	a.level = min(a.level, a.most(r))
}

// Ask reports whether a request that counts as n is let in.
func (a *Account) Ask(now time.Time, n float64, r Reach) Answer {
	a.advance(now, r)
	a.asked.add(now, n)
	if a.level > 0 {
		a.level -= n
		a.used += n
		a.letIn.add(now, n)
		return Answer{OK: true, Use: a.use(now), Level: a.level}
	}
	return Answer{After: a.promise(now, n, r), Use: a.use(now), Level: a.level}
}

// Return takes back what was let in for a request that didn't run.
func (a *Account) Return(now time.Time, n float64, r Reach) {
	a.advance(now, r)
	a.level = min(a.level+n, a.most(r))
	a.used -= n
	a.letIn.add(now, -n)
	a.asked.add(now, -n)
}

// promise returns when a refused request of n fits. What becomes free is promised
// once: callers that are refused together are told one time after the other.
func (a *Account) promise(now time.Time, n float64, r Reach) time.Duration {
	rate := max(a.accrual(now, r), 1)
	at := now.Add(seconds((1 - a.level) / rate))
	if at.Before(a.promised) {
		at = a.promised
	}
	wait := at.Sub(now)
	if wait > longestWait {
		return longestWait
	}
	a.promised = at.Add(seconds(n / rate))
	return wait
}

// advance brings the level up to date.
func (a *Account) advance(now time.Time, r Reach) {
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	own := a.accrual(now, r)
	a.level = min(a.level+own*dt, a.most(r))
	a.assume(now, dt, a.limit.Rate-own)
	a.at = now
}

// assume notes what others are taken to let in while nothing is heard of them: as
// much as the own accrual leaves them.
func (a *Account) assume(now time.Time, dt, left float64) {
	sum := 0.0
	for _, o := range a.others {
		sum += o.word.Asked
	}
	for _, o := range a.others {
		switch {
		case o.missed:
			o.assumed += dt * a.limit.Rate * o.part
		case a.contended(now) && sum > 0:
			o.assumed += dt * left * o.word.Asked / sum
		default:
			o.assumed += dt * o.word.Pace
		}
	}
}

// contended reports whether more is asked in reach than is free there.
func (a *Account) contended(now time.Time) bool { return a.askedInReach(now) > a.limit.Rate }

// askedInReach returns what is asked a second of this holder and those that it hears.
func (a *Account) askedInReach(now time.Time) float64 {
	sum := a.asked.at(now)
	for _, o := range a.others {
		if !o.missed {
			sum += o.word.Asked
		}
	}
	return sum
}

// askedWhenTold returns what was asked a second of all holders when they last told
// each other, which those on both sides of a cut know alike.
func (a *Account) askedWhenTold() float64 {
	sum := a.told.Asked
	for _, o := range a.others {
		sum += o.word.Asked
	}
	return sum
}

// use returns the part of the limit that all holders let in.
func (a *Account) use(now time.Time) float64 {
	sum := a.letIn.at(now)
	for _, o := range a.others {
		sum += o.word.Pace
	}
	return sum / max(a.limit.Rate, 1)
}

// accrual returns the rate at which the level rises: what others leave of the part of
// the limit that is in reach, or the own share of it where more is asked than there is.
func (a *Account) accrual(now time.Time, r Reach) float64 {
	own := a.limit.Rate * a.inReach(r)
	asked := a.askedInReach(now)
	if asked > own {
		own *= max(a.asked.at(now)/asked, leastShare/float64(len(r.Domains)+1))
	} else {
		for _, o := range a.others {
			if !o.missed {
				own -= o.word.Pace
			}
		}
	}
	return max(own, 0) * min(1, partSpare*r.Part)
}

// inReach returns the part of the limit that falls to this failure domain and those
// that it hears: all but the parts of the others, which they had when they were last
// heard of. By what is asked now each side of a cut would take itself for the larger
// one, and two domains and one let in 1.67 of a limit together. Domains that nothing
// was ever heard of have an even part.
func (a *Account) inReach(r Reach) float64 {
	all := float64(len(r.Domains) + 1)
	part := 1.0
	for _, name := range r.Domains {
		if o := a.others[name]; o == nil {
			part -= 1 / all
		} else if o.missed {
			part -= o.part
		}
	}
	return max(part, leastShare/all)
}

// most returns the level that the account may rise to: the part of the burst in reach.
func (a *Account) most(r Reach) float64 {
	return (max(a.limit.Burst, leastBurst*a.limit.Rate) + a.limit.Spare) * a.inReach(r)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
