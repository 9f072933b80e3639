package quota

import "time"

// When a holder reports its account to the others. Calm teams cost one message a second and domain.
// A team at its limit costs about three, so that what two others have not yet reported comes to at
// most a fifth of a second of its rate.
const (
	reportInterval = time.Second
	reportPart     = 0.1 // of a second of the rate, admitted since the last report
	// reportPaceDrop is the least decrease of the pace, as part of the rate, that is reported
	// although nothing was admitted since.
	reportPaceDrop = 0.02
)

// ReportDue reports whether a report to the others is due.
func (a *Account) ReportDue(now time.Time) bool {
	if a.reportedAt.IsZero() {
		return true
	}
	unreported := a.used - a.lastReport.Used
	if unreported < 0 {
		unreported = -unreported
	}
	if unreported >= reportPart*a.limit.Rate {
		return true
	}
	paceDrop := a.lastReport.Pace - a.admitted.at(now)
	return now.Sub(a.reportedAt) >= reportInterval && (unreported > 0 || paceDrop > reportPaceDrop*a.limit.Rate)
}

// Report returns the account's current report.
func (a *Account) Report(now time.Time) Report {
	return Report{Holder: a.id, Used: a.used, Pace: a.admitted.at(now), Asked: a.demand.at(now)}
}

// NoteReported records that a report was sent to the others.
func (a *Account) NoteReported(now time.Time, w Report) { a.lastReport, a.reportedAt = w, now }

// Observe applies a report of the holder of another failure domain.
func (a *Account) Observe(now time.Time, domain string, w Report, r Reachability) {
	a.advance(now, r)
	o := a.others[domain]
	if o == nil {
		o = new(otherHolder)
		a.others[domain] = o
	}
	// It is unknown when a new account began to count, so what was assumed of the previous one
	// stays.
	if o.report.Holder == w.Holder {
		unforeseen := w.Used - o.report.Used - o.assumed
		a.level = max(min(a.level-unforeseen, a.maxLevel(r)), min(a.level, -maxDebtSeconds*a.limit.Rate))
	}
	o.report, o.unreachable, o.assumed = w, false, 0
}

// lostAllOthers reports whether no other failure domain's holder is reachable, though some were.
func (a *Account) lostAllOthers() bool {
	for _, o := range a.others {
		if !o.unreachable {
			return false
		}
	}
	return len(a.others) > 0
}

// NoteUnreachable records that the holder of another failure domain didn't answer. From the first
// failed call on each side of a partition keeps to its share: when a partition came with six times
// the usual load and the holder got another 1.5 s, 1.08 of what a limit allows in eight seconds was
// admitted.
func (a *Account) NoteUnreachable(now time.Time, domain string, r Reachability) {
	a.advance(now, r)
	o := a.others[domain]
	if o == nil || o.unreachable {
		return
	}
	o.unreachable = true
	o.share = 1 / float64(len(r.Domains)+1)
	if sum := a.reportedDemand(); sum > 0 {
		o.share = o.report.Asked / sum
	}
}
