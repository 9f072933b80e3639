package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// A request under which endpoints ended is sent to another only by a trial, and to none once
// it is blamed (package quarantine). Every call to an endpoint that runs a request is made
// after mayRunAt, between beginRun and endRun.

const (
	// turnWait is how long a request that holds nothing yet waits for its trial: others of
	// the same, one after the other, are over or settled by then.
	turnWait = 3 * time.Second
	// heldWait is the same where an engine's turn or memory is held for the request.
	heldWait = 200 * time.Millisecond
	// trialBack is when a request is to come back that had no trial in time.
	trialBack = time.Second
	// trialAsk is the time between the first two asks for a trial; it doubles up to
	// trialAskMost, as hundreds may wait for the same one.
	trialAsk     = 50 * time.Millisecond
	trialAskMost = 400 * time.Millisecond
	// mostEndsOfAttempt is how many endpoints may end under one attempt of a caller: it is
	// sent to one further endpoint, as most that are in progress where one ends are
	// innocent. What ended two waits for its caller to come again.
	mostEndsOfAttempt = 2
)

// mayRun returns nil if a request may be sent to some endpoint, for which a suspect that holds
// nothing waits. A request that nobody suspects costs no message.
func (e *Entry) mayRun(ctx context.Context, j *job) *result.Error {
	_, refusal := e.ask(ctx, j, quarantine.Ask{Stage: quarantine.Running, Room: e.roomFor(j)}, j.patientTurn())
	return refusal
}

// mayRunAt returns nil if a request may be sent to an endpoint now; elsewhere says that it
// may be, but not to this one.
func (e *Entry) mayRunAt(ctx context.Context, j *job, spec *config.Endpoint, s quarantine.Stage) (elsewhere bool, refusal *result.Error) {
	return e.ask(ctx, j, quarantine.Ask{Stage: s, Endpoint: route.Number(spec.Name)}, heldWait)
}

// roomFor returns how many endpoints may run a request, where anybody is suspected.
func (e *Entry) roomFor(j *job) (n int) {
	if e.board.Suspects.Quiet() {
		return 0
	}
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if g := j.group(fleet); g != nil {
			n = len(g.Decode.All()) + len(g.Service.All())
		}
	})
	return max(1, n)
}

// mayGoTo reports whether a request may be sent to an endpoint now.
func (e *Entry) mayGoTo(ctx context.Context, j *job, spec *config.Endpoint) bool {
	elsewhere, refusal := e.mayRunAt(ctx, j, spec, quarantine.Running)
	return !elsewhere && refusal == nil
}

// orBarred returns a refusal, or where there is none the failure of a try at an endpoint where
// another suspect runs.
func orBarred(refusal *result.Error, spec *config.Endpoint) error {
	if refusal != nil {
		return refusal
	}
	return barredSince(spec, route.BarTrial)
}

// waitsOn is what becomes of a try that gives back what it holds over a refusal at its decode
// engine. One that had no trial in time tries again, as it may wait for longer while it holds
// nothing: of many requests sent alike, while engines end before the first answer, the last
// would be refused.
func waitsOn(refusal *result.Error, spec *config.Endpoint) error {
	if refusal.Code == result.UnderTrial {
		return barredSince(spec, route.BarTrial)
	}
	return refusal
}

// closedAgain is when engines are looked at again at each of which another suspect ran.
const closedAgain = 50 * time.Millisecond

// lookAgain finds a decode engine for a result that is still kept, after another suspect ran at
// one after the other. They were left out as they were closed just then, which they are for the
// time of an answer only: left out for good, requests were refused beside free engines.
func (e *Entry) lookAgain(ctx context.Context, j *job, p *plan, lapses time.Time) {
	if time.Until(lapses) < lastMoment+closedAgain || !wait.For(ctx, closedAgain) {
		return
	}
	e.board.Requests.Close(p.decodeBy)
	j.pick.Exclude = p.open
	e.findDecode(ctx, j, p)
}

// closedInTurn is what becomes of a try whose result lapsed so, after it has given back what it
// held: it is tried again.
func closedInTurn(j *job, p *plan) error {
	j.pick.Exclude = p.open
	r := barredSince(p.lastDec, route.BarTrial)
	r.stay = true
	return r
}

// ask is mayRun and mayRunAt; a says all of what is asked but whose it is.
func (e *Entry) ask(ctx context.Context, j *job, a quarantine.Ask, most time.Duration) (elsewhere bool, refusal *result.Error) {
	if e.board.Suspects.Quiet() {
		return false, nil
	}
	again := trialAsk
	for end := time.Now().Add(most); ; again = min(2*again, trialAskMost) {
		verdict, rest := e.board.Suspects.Judge(j.asks, clock.Now())
		if verdict == quarantine.Free {
			return false, nil
		}
		if refusal := e.refused(j, verdict, rest); refusal != nil {
			return false, refusal
		}
		a.Request, a.Holder = j.asks, j.holder()
		reply := e.owners.Trial(ctx, a)
		j.trial = j.trial || reply.Granted
		j.pick.Trial = j.trial
		if reply.Granted || reply.Elsewhere {
			return reply.Elsewhere, nil
		}
		asked := time.Now()
		if end.Sub(asked) < again || !wait.For(ctx, again/2+rand.N(again)) {
			return false, underTrial(j).After(trialBack)
		}
		j.tried += time.Since(asked)
	}
}

// blamed returns the refusal of a request that isn't sent to any endpoint now.
func (e *Entry) blamed(j *job) *result.Error {
	if e.board.Suspects.Quiet() {
		return nil
	}
	verdict, rest := e.board.Suspects.Judge(j.asks, clock.Now())
	return e.refused(j, verdict, rest)
}

// refused returns the refusal that a verdict comes to, if it does. That of a request that is
// blamed names no time to come back: callers are to stop sending it.
func (e *Entry) refused(j *job, v quarantine.Verdict, rest time.Duration) *result.Error {
	switch v {
	case quarantine.Blamed:
		e.board.Suspects.NoteRefused()
		return result.Errorf(result.EndsEndpoints, "endpoints ended as they ran this request (%s)", j.asks)
	case quarantine.Resting:
		return underTrial(j).After(rest)
	}
	return nil
}

// underTrial is the refusal of a request that can't be tried yet.
func underTrial(j *job) *result.Error {
	return result.Errorf(result.UnderTrial, "an endpoint ended as it ran this request (%s), and it is tried again later", j.asks)
}

// patientTurn returns how long a job that holds nothing waits for its trial.
func (j *job) patientTurn() time.Duration {
	if j.deadline == 0 {
		return turnWait
	}
	return min(turnWait, time.Until(j.came.Add(j.deadline))/2)
}

// holder names the job where trials are given out.
func (j *job) holder() uint64 {
	return xxhash.Sum64String(j.id.String())
}

// settle lets others of the same request run beside a job whose answer goes on well.
func (e *Entry) settle(j *job) {
	if !j.trial || j.settled {
		return
	}
	j.settled = true
	go e.owners.TrialDone(j.asks, j.holder(), true)
}

// endTrial ends the job's trial, if it has one.
func (e *Entry) endTrial(j *job) {
	if !j.trial {
		return
	}
	j.trial, j.settled, j.pick.Trial = false, false, false
	go e.owners.TrialDone(j.asks, j.holder(), false)
}
