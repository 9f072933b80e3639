package quarantine

import (
	"time"

	"github.com/embercove/embercove/request"
)

// Ask asks for a probe: the permission to run a suspected request.
type Ask struct {
	Request  request.Fingerprint
	Endpoint uint32 // number of the endpoint that it is about to go to; 0: none chosen yet
	Stage    Stage  // what it is about to do there
	Room     int    // endpoints that it may go to, if none is chosen yet
	Holder   uint64 // identifies the attempt
	// OutOfTouch says that the granting host doesn't reach most failure domains: what they saw and granted isn't known.
	OutOfTouch bool
	Known      []Row // what the requesting host knows of the request
	// Part says that Request is the key of a part of a prompt, and Partly that the request lacks some of the parts
	// that can't be told apart from it.
	Part, Partly bool
	KnownOfPart  PartNews
}

// Reply answers an Ask.
type Reply struct {
	Verdict   Verdict
	Granted   bool  // the suspect may run
	Elsewhere bool  // it may run, but not at that endpoint
	Retry     bool  // it is a retry after the third crash
	News      []Row // that all hosts have to know
	Known     []Row // what the granting host knows of the request
	// KnownOfPart is the same of a part of a prompt.
	KnownOfPart PartNews
}

// ProbeEnd says how far a probe came.
type ProbeEnd uint8

// Kinds of ends of probes.
const (
	ProbeOver    ProbeEnd = iota // its run is over, and its endpoint went on
	ProbeSettled                 // its run is still in progress and looks healthy
	ProbeUnsent                  // no endpoint got the request
	ProbeCrashed                 // its endpoint crashed, or may have
)

// Times of probes.
const (
	// exclusiveFor is how long no other probe of the same request is granted, unless this one ended
	// or settled. Within it a request waits in the queue, is prefilled and gets its first event, or it becomes known
	// what became of the process at which it broke off.
	exclusiveFor = PollFor
	// maxProbeTime is how long a probe lasts that nobody ended, as its host may be gone. It keeps
	// other suspects from the endpoint for as long as most answers take.
	maxProbeTime = 30 * time.Second
	// SettledAfter is how long a request has to decode before other runs of it may start: four times
	// the time after which requests that crash endpoints did so, counted from when they were sent.
	SettledAfter = 500 * time.Millisecond
)

// probe is a run of a suspect that is in progress.
type probe struct {
	request        request.Fingerprint
	endpoint       uint32
	alone          bool // no other suspect may run at the endpoint meanwhile
	settled        bool
	exclusiveUntil time.Time
	until          time.Time
}

// probes holds the probes that one host granted, by holder.
type probes struct {
	byHolder map[uint64]*probe
	// settled holds until when any number of runs of a request may start, since one has settled.
	settled map[request.Fingerprint]time.Time
}

func newProbes() probes {
	return probes{byHolder: map[uint64]*probe{}, settled: map[request.Fingerprint]time.Time{}}
}

// maxOutOfTouch is the number of crashes from which on hosts that are cut off from most others grant no probes: as many
// may have been seen elsewhere.
const maxOutOfTouch = 2

// Grant decides on a request for a probe. A suspect runs at one place at a time. If its next crash
// may get it blamed, it runs beside no other suspect: of two requests under which the same
// endpoints crashed one is innocent. A probe after the third crash is a retry, of which there are few.
func (r *Registry) Grant(a Ask, now time.Time) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.sweepProbes(now)
	verdict, _ := r.evaluate(a.Request, a.Holder, now)
	reply := Reply{Verdict: verdict, Known: r.rowsOf(a.Request, now), News: lost}
	s := r.summarize(a.Request)
	begins := s.isLimited() && !r.isRetry(a.Request, a.Holder)
	if reply.Verdict != Suspect || a.OutOfTouch && (begins || s.processes >= maxOutOfTouch) {
		return reply
	}
	reply.Granted, reply.Elsewhere = r.probes.grant(a, s.isLimited() || r.mustRunAlone(a), now)
	if reply.Granted {
		r.counts.Probes++
	}
	if reply.Granted && begins {
		r.addRetry(a.Request, a.Holder, retry{at: now})
		reply.Known, reply.Retry = r.rowsOf(a.Request, now), true
		reply.News = append(lost, reply.Known...)
	}
	return reply
}

// addRetry adds a retry to the record of the last stage that something speaks against: a success in an earlier stage clears
// what is known of that one. The caller holds the lock.
func (r *Registry) addRetry(f request.Fingerprint, holder uint64, by retry) {
	for s := stages; s > 0; s-- {
		if c := r.records[recordKey{f, s - 1}]; c != nil && !c.mark.isClear() {
			c.history.addRetry(holder, by)
			return
		}
	}
}

// retryEnd returns what the end of a probe says of the retry that it was.
func (e ProbeEnd) retryEnd() RetryEnd {
	switch e {
	case ProbeOver:
		return RetryInconclusive
	case ProbeUnsent:
		return RetryUnsent
	case ProbeCrashed:
		return RetryCrashed
	}
	return RetryPending
}

// RecordRetryEnd records how a probe ended if it was a retry, and returns rows to send to all hosts.
func (r *Registry) RecordRetryEnd(f request.Fingerprint, holder uint64, end ProbeEnd, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range stages {
		c := r.records[recordKey{f, s}]
		if c == nil {
			continue
		}
		if _, known := c.history.retries[holder]; known {
			c.history.addRetry(holder, retry{at: now, end: end.retryEnd()})
			return r.rowsOf(f, now)
		}
	}
	return nil
}

// mustRunAlone reports whether a request has to run beside no other suspect: its next crash may get
// it blamed, and it has crashed endpoints in the stage that it is about to enter. The caller holds
// the lock.
func (r *Registry) mustRunAlone(a Ask) bool {
	s := r.summarize(a.Request)
	c := r.records[recordKey{a.Request, a.Stage}]
	return max(s.moments, s.processes) >= aloneAt && c != nil && !c.mark.isClear()
}

// grant grants a probe if it may begin now.
func (t *probes) grant(a Ask, alone bool, now time.Time) (granted, elsewhere bool) {
	_, settled := t.settled[a.Request]
	closed, unplaced := map[uint32]bool{}, 0 // endpoints closed by runs of other suspects
	for holder, other := range t.byHolder {
		switch {
		case holder == a.Holder:
		case other.request == a.Request && !settled && now.Before(other.exclusiveUntil):
			return false, false
		case other.request == a.Request, !alone && !other.alone, other.settled:
		case other.endpoint == 0:
			unplaced++
		default:
			closed[other.endpoint] = true
		}
	}
	switch {
	case closed[a.Endpoint]:
		return false, true
	case a.Endpoint == 0 && len(closed)+unplaced >= a.Room && len(closed)+unplaced > 0:
		return false, false
	}
	t.byHolder[a.Holder] = &probe{request: a.Request, endpoint: a.Endpoint, alone: alone, exclusiveUntil: now.Add(exclusiveFor), until: now.Add(maxProbeTime)}
	return true, false
}

// SettleProbe records that the run of a probe has settled.
func (r *Registry) SettleProbe(holder uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes.settle(holder, now)
}

// settle records that the run of a probe has settled.
func (t *probes) settle(holder uint64, now time.Time) {
	if cur := t.byHolder[holder]; cur != nil {
		cur.settled = true
		t.settled[cur.request] = now.Add(exclusiveFor)
	}
}

// EndProbe ends a probe.
func (r *Registry) EndProbe(holder uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probes.byHolder, holder)
}

// sweepProbes ends the probes that have expired. What became of the run of one that hadn't settled isn't known: its host is
// gone or out of reach. It returns rows to send to all hosts. The caller holds the lock.
func (r *Registry) sweepProbes(now time.Time) (rows []Row) {
	for holder, request := range r.probes.sweep(now) {
		for s := range stages {
			if added := r.addUnresolved(recordKey{request, s}, Process(holder), "", false, now); len(added) > 0 {
				rows = append(rows, added...)
				break
			}
		}
	}
	return rows
}

// sweep ends what has expired. It returns the requests of the probes that hadn't settled, by holder.
func (t *probes) sweep(now time.Time) (lost map[uint64]request.Fingerprint) {
	lost = map[uint64]request.Fingerprint{}
	for holder, cur := range t.byHolder {
		if now.Before(cur.until) {
			continue
		}
		delete(t.byHolder, holder)
		if !cur.settled {
			lost[holder] = cur.request
		}
	}
	for f, until := range t.settled {
		if !now.Before(until) {
			delete(t.settled, f)
		}
	}
	return lost
}
