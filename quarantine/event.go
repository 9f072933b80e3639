package quarantine

import "time"

// The requests that had just begun (young runs) where a process crashed explain the crash for all
// older runs there, on all hosts: a request that crashes a process does so soon after it was sent.
// So a request that runs beside several that each crash an endpoint isn't suspected with them. If
// all young runs are cleared, or there was none, the older ones are suspected.

const (
	// ExplainWait is how long an old run waits for reports of young ones: hosts notice a crash
	// within some milliseconds of each other, and report it at once.
	ExplainWait = 300 * time.Millisecond
	// crashTTL is how long a crash is kept for this. A request that was there by chance is answered
	// completely within the time of a few answers.
	crashTTL = 10 * time.Minute
	// maxEvents is how many crashes are kept this way, with at most maxWithheld old runs each.
	// Beyond that the oldest is dropped, and the runs withheld for it are not suspected.
	maxEvents   = 256
	maxWithheld = 64
	// sameCrashFor is how long reports of a process's crash count as one event. If endpoints don't
	// report when they started, all processes at an address have the same name.
	sameCrashFor = 15 * time.Second
)

// event is the crash of one process.
type event struct {
	at       time.Time
	endpoint string
	suspects map[recordKey]suspect
	withheld []Run // old runs of this host, not suspected so far
}

// suspect is a request that was there when a process crashed, and may have caused it.
type suspect struct {
	epoch uint32 // of its mark
	young bool   // it had just begun there
}

// events holds the crashes of processes that one host knows of.
type events struct{ byProcess map[Process]*event }

func newEvents() events { return events{map[Process]*event{}} }

// get returns the crash of a process at about a given time.
func (s *events) get(p Process, now time.Time) *event {
	e := s.byProcess[p]
	if e != nil && now.Sub(e.at) < sameCrashFor {
		return e
	}
	delete(s.byProcess, p)
	if len(s.byProcess) >= maxEvents {
		s.dropOldest()
	}
	e = &event{at: now, suspects: map[recordKey]suspect{}}
	s.byProcess[p] = e
	return e
}

// HasCrashed reports whether a process is known to have crashed under some request.
func (r *Registry) HasCrashed(p Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.byProcess[p] != nil
}

func (s *events) dropOldest() {
	var oldest Process
	var at time.Time
	for p, e := range s.byProcess {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = p, e.at
		}
	}
	delete(s.byProcess, oldest)
}

// latest returns when the latest crash was; zero: none is known.
func (s *events) latest() (at time.Time) {
	for _, e := range s.byProcess {
		at = later(at, e.at)
	}
	return at
}

// addSuspect records that a request was there when a process crashed.
func (s *events) addSuspect(p Process, k recordKey, who suspect, now time.Time) {
	s.get(p, now).suspects[k] = who
}

// withhold records an old run of a crashed process.
func (s *events) withhold(p Process, endpoint string, run Run, now time.Time) {
	e := s.get(p, now)
	e.endpoint = endpoint
	if len(e.withheld) < maxWithheld {
		e.withheld = append(e.withheld, run)
	}
}

// sweep drops what has been kept long enough.
func (s *events) sweep(now time.Time) {
	for p, e := range s.byProcess {
		if now.Sub(e.at) >= crashTTL {
			delete(s.byProcess, p)
		}
	}
}
