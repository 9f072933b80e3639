package quota

import (
	"time"
)

// Limit is what a team may use over all hosts together, in units of its quota.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units on top of the rate
	// Spare is admitted beyond the burst, so that no request within the limit is refused because
	// reports from others lag.
	Spare float64
}

// Reachability describes which failure domains and hosts a holder can reach.
type Reachability struct {
	Domains []string // the other failure domains, of all regions
	// HostShare is the share of the own domain's hosts that is reachable, this host included: 1 if all
	// are.
	HostShare float64
	// Settled says that no other host can recently have held limits of this domain.
	Settled bool
}

// Report is what a holder reports to others about its account.
type Report struct {
	Holder uint64  // changes with the host, its process and the account
	Used   float64 // admitted since the account was opened
	Pace   float64 // admitted a second, recently
	Asked  float64 // requested a second, recently
}

// Answer says whether a request is admitted.
type Answer struct {
	OK    bool
	After time.Duration // if refused: when a request of this size fits
	// Use is the part of the limit that all holders together admitted recently.
	Use float64
	// Level is how much is free as far as the holder knows, in units.
	Level float64
}

// Shares and times of accounts. They keep what all hosts admit over eight seconds within a quarter
// above the limit, plus a few requests.
const (
	// minShare is the part of an even share that a failure domain has in any case, for one that is
	// cut off after a time without requests. With three domains all shares together come to at most
	// 1.17 of the limit.
	minShare = 0.25
	// reachableMargin lets the reachable hosts of a domain use a tenth more than their share, since
	// unreachable hosts are mostly gone and admit nothing.
	reachableMargin = 1.1
	// initialSeconds is the level of a new account, in seconds of its own rate: it doesn't know
	// what others before it have admitted. All holders of a team that start at once admit half a
	// second of its rate together.
	initialSeconds = 0.5 // s
	// minBurstSeconds is the lowest cap on the level of an account, in seconds of the rate, for
	// limits without a burst.
	minBurstSeconds = 0.25 // s
	// maxDebtSeconds bounds how far reports of what others admitted can push an account below zero,
	// in seconds of the rate: older use no longer counts against anybody.
	maxDebtSeconds = 2.0 // s
	// maxRetryAfter bounds the retry time announced to a refused caller. Forecasts beyond it say
	// little, as callers give up.
	maxRetryAfter = 8 * time.Second
)

// other is what is known of another failure domain's holder.
type other struct {
	report      Report
	unreachable bool    // it has not answered since: it counts as unreachable
	share       float64 // of all demand, when it became unreachable
	assumed     float64 // assumed to be admitted since its last report
}

// Account is a holder's state of a team's use of its limit.
type Account struct {
	id            uint64
	limit         Limit
	level         float64 // units free, as far as known; at 0 and below nothing is admitted
	at            time.Time
	used          float64
	admitted      meter
	demand        meter
	others        map[string]*other // by failure domain
	promisedUntil time.Time         // until when future capacity was announced to refused callers

	lastReport Report
	reportedAt time.Time
}

// OpenAccount returns the account of a host that becomes the holder of a team's limit. The id must differ
// for each account. Where no other host can have admitted anything, the account begins with the
// full burst: with the small level of an unsettled one, requests within the limit would be refused
// in the first seconds after all hosts have started.
func OpenAccount(now time.Time, id uint64, l Limit, r Reachability) *Account {
	a := &Account{id: id, limit: l, at: now, others: map[string]*other{}}
	a.level = initialSeconds * a.accrual(now, r)
	if r.Settled {
		a.level = a.maxLevel(r)
	}
	return a
}

// SetLimit applies another limit from now on.
func (a *Account) SetLimit(now time.Time, l Limit, r Reachability) {
	if l == a.limit {
		return
	}
	a.advance(now, r)
	a.limit = l
	a.level = min(a.level, a.maxLevel(r))
}

// Admit reports whether a request that counts as n units is admitted.
func (a *Account) Admit(now time.Time, n float64, r Reachability) Answer {
	a.advance(now, r)
	a.demand.add(now, n)
	if a.level > 0 {
		a.level -= n
		a.used += n
		a.admitted.add(now, n)
		return Answer{OK: true, Use: a.use(now), Level: a.level}
	}
	return Answer{After: a.retryAfter(now, n, r), Use: a.use(now), Level: a.level}
}

// Refund returns the n units of an admitted request that didn't run.
func (a *Account) Refund(now time.Time, n float64, r Reachability) {
	a.advance(now, r)
	a.level = min(a.level+n, a.maxLevel(r))
	a.used -= n
	a.admitted.add(now, -n)
	a.demand.add(now, -n)
}

// retryAfter returns when a refused request of n units fits. Future capacity is announced once:
// callers that are refused together get successive times.
func (a *Account) retryAfter(now time.Time, n float64, r Reachability) time.Duration {
	rate := max(a.accrual(now, r), 1)
	at := now.Add(seconds((1 - a.level) / rate))
	if at.Before(a.promisedUntil) {
		at = a.promisedUntil
	}
	wait := at.Sub(now)
	if wait > maxRetryAfter {
		return maxRetryAfter
	}
	a.promisedUntil = at.Add(seconds(n / rate))
	return wait
}

// advance brings the level up to date.
func (a *Account) advance(now time.Time, r Reachability) {
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	own := a.accrual(now, r)
	a.level = min(a.level+own*dt, a.maxLevel(r))
	a.assume(now, dt, a.limit.Rate-own)
	a.at = now
}

// assume adds what the others are assumed to admit until their next report: what this holder's own
// accrual leaves them.
func (a *Account) assume(now time.Time, dt, left float64) {
	sum := 0.0
	for _, o := range a.others {
		sum += o.report.Asked
	}
	for _, o := range a.others {
		switch {
		case o.unreachable:
			o.assumed += dt * a.limit.Rate * o.share
		case a.contended(now) && sum > 0:
			o.assumed += dt * left * o.report.Asked / sum
		default:
			o.assumed += dt * o.report.Pace
		}
	}
}

// contended reports whether the reachable demand exceeds the limit.
func (a *Account) contended(now time.Time) bool { return a.reachableDemand(now) > a.limit.Rate }

// reachableDemand returns the requested units a second of this holder and the reachable others.
func (a *Account) reachableDemand(now time.Time) float64 {
	sum := a.demand.at(now)
	for _, o := range a.others {
		if !o.unreachable {
			sum += o.report.Asked
		}
	}
	return sum
}

// reportedDemand returns the requested units a second of all holders at their last exchange of
// reports. Both sides of a partition know the same value.
func (a *Account) reportedDemand() float64 {
	sum := a.lastReport.Asked
	for _, o := range a.others {
		sum += o.report.Asked
	}
	return sum
}

// use returns the part of the limit that all holders admit.
func (a *Account) use(now time.Time) float64 {
	sum := a.admitted.at(now)
	for _, o := range a.others {
		sum += o.report.Pace
	}
	return sum / max(a.limit.Rate, 1)
}

// accrual returns the rate at which the level rises: what the others leave of the reachable part of
// the limit, or this holder's share of that part if the demand exceeds it.
func (a *Account) accrual(now time.Time, r Reachability) float64 {
	own := a.limit.Rate * a.reachableShare(r)
	demand := a.reachableDemand(now)
	if demand > own {
		own *= max(a.demand.at(now)/demand, minShare/float64(len(r.Domains)+1))
	} else {
		for _, o := range a.others {
			if !o.unreachable {
				own -= o.report.Pace
			}
		}
	}
	return max(own, 0) * min(1, reachableMargin*r.HostShare)
}

// reachableShare returns the part of the limit that belongs to this failure domain and the
// reachable ones: all but the shares that the unreachable domains had at their last report. Current
// demand can't be used for this: each side of a partition would take itself for the larger one, and
// two domains on one side and one on the other admitted 1.67 of a limit together. Domains that have
// never reported have an even share.
func (a *Account) reachableShare(r Reachability) float64 {
	all := float64(len(r.Domains) + 1)
	share := 1.0
	for _, name := range r.Domains {
		if o := a.others[name]; o == nil {
			share -= 1 / all
		} else if o.unreachable {
			share -= o.share
		}
	}
	return max(share, minShare/all)
}

// maxLevel returns the cap on the level: the reachable part of the burst.
func (a *Account) maxLevel(r Reachability) float64 {
	return (max(a.limit.Burst, minBurstSeconds*a.limit.Rate) + a.limit.Spare) * a.reachableShare(r)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
