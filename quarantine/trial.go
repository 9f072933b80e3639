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
	Known    []Row  // what the requesting host knows of the request
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
	Known     []Row // what the granting host knows of the request
	// KnownOfPart is the same of a part of a prompt.
	KnownOfPart PartNews
}

// Times of probes.
const (
	// exclusiveFor is how long no other probe of the same request is granted, unless this one ended
	// or settled. Within it a request waits in the queue, is prefilled and gets its first event.
	exclusiveFor = 5 * time.Second
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

// Grant decides on a request for a probe. A suspect runs at one place at a time. If its next crash
// may get it blamed, it runs beside no other suspect: of two requests under which the same
// endpoints crashed one is innocent.
func (r *Registry) Grant(a Ask, now time.Time) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict, _ := r.evaluate(a.Request, now)
	reply := Reply{Verdict: verdict, Known: r.rowsOf(a.Request, now)}
	if reply.Verdict != Suspect {
		return reply
	}
	reply.Granted, reply.Elsewhere = r.probes.grant(a, r.mustRunAlone(a), now)
	if reply.Granted {
		r.counts.Probes++
	}
	return reply
}

// mustRunAlone reports whether a request has to run beside no other suspect: its next crash may get
// it blamed, and it has crashed endpoints in the stage that it is about to enter. The caller holds
// the lock.
func (r *Registry) mustRunAlone(a Ask) bool {
	crashCount, _ := r.crashes(a.Request)
	c := r.records[recordKey{a.Request, a.Stage}]
	return crashCount >= aloneAt && c != nil && c.mark.Ends > 0
}

// grant grants a probe if it may begin now.
func (t *probes) grant(a Ask, alone bool, now time.Time) (granted, elsewhere bool) {
	t.sweep(now)
	_, settled := t.settled[a.Request]
	closed, unplaced := map[uint32]bool{}, 0 // endpoints closed by runs of other suspects
	for holder, other := range t.byHolder {
		switch {
		case holder == a.Holder:
		case other.request == a.Request && !settled && now.Before(other.exclusiveUntil):
			return false, false
		case other.request == a.Request, !alone && !other.alone:
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
		t.settled[cur.request] = now.Add(exclusiveFor)
	}
}

// EndProbe ends a probe.
func (r *Registry) EndProbe(holder uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probes.byHolder, holder)
}

// sweep ends what has expired.
func (t *probes) sweep(now time.Time) {
	for holder, cur := range t.byHolder {
		if !now.Before(cur.until) {
			delete(t.byHolder, holder)
		}
	}
	for f, until := range t.settled {
		if !now.Before(until) {
			delete(t.settled, f)
		}
	}
}
