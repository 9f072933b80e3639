package quarantine

import "time"

// Who had just begun where a process ended explains the end for all others that were in
// progress there, on all hosts: what ends a process does so soon after it was sent. So a request that runs beside several that
// each end an endpoint isn't suspected with them. Where all who had just begun are cleared,
// or nobody had, the others are suspected.

const (
	// ExplainWait is how long what had not just begun waits for word of what had: the hosts
	// notice an end within some milliseconds of each other, and tell at once.
	ExplainWait = 300 * time.Millisecond
	// eventKept is how long an end is remembered for this. Who was there by chance is
	// answered whole within the time of some answers.
	eventKept = 10 * time.Minute
	// mostEvents is how many ends are remembered so, with mostOld runs each at the most.
	// Beyond it the oldest goes, and what was withheld for it isn't suspected.
	mostEvents = 256
	mostOld    = 64
	// oneEnd is how long the ends told of one process are one event. Where endpoints don't
	// tell when they started, all processes at an address have one name.
	oneEnd = 15 * time.Second
)

// event is the end of one process.
type event struct {
	at       time.Time
	endpoint string
	suspects map[cellKey]suspect
	old      []Run // of this host, that had not just begun and aren't suspected
}

// suspect is a request that was there as a process ended, and may have ended it.
type suspect struct {
	epoch uint32 // in which it is
	young bool   // it had just begun there
}

// events are the ends of processes, as one host knows them.
type events struct{ of map[Process]*event }

func newEvents() events { return events{map[Process]*event{}} }

// get returns the event of a process that ended at about some time.
func (s *events) get(p Process, now time.Time) *event {
	e := s.of[p]
	if e != nil && now.Sub(e.at) < oneEnd {
		return e
	}
	delete(s.of, p)
	if len(s.of) >= mostEvents {
		s.dropOldest()
	}
	e = &event{at: now, suspects: map[cellKey]suspect{}}
	s.of[p] = e
	return e
}

func (s *events) dropOldest() {
	var oldest Process
	var at time.Time
	for p, e := range s.of {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = p, e.at
		}
	}
	delete(s.of, oldest)
}

// suspect notes that a request was there as a process ended.
func (s *events) suspect(p Process, k cellKey, who suspect, now time.Time) {
	s.get(p, now).suspects[k] = who
}

// withhold notes a run that had not.
func (s *events) withhold(p Process, endpoint string, run Run, now time.Time) {
	e := s.get(p, now)
	e.endpoint = endpoint
	if len(e.old) < mostOld {
		e.old = append(e.old, run)
	}
}

// sweep forgets what has been kept for long enough.
func (s *events) sweep(now time.Time) {
	for p, e := range s.of {
		if now.Sub(e.at) >= eventKept {
			delete(s.of, p)
		}
	}
}
