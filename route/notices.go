package route

import "time"

// Notice is what one answer of an endpoint said of it to this host.
type Notice struct {
	Leaving bool
	Rest    time.Duration // for which the endpoint wants no request of this host; 0: it asks for none
	Born    int64         // start of the endpoint's process; 0: unknown
	Sent    time.Time     // when the call was made
	Heard   time.Time     // when the head of its answer came
}

// Notices are what answers of an endpoint's process have said of it to this host. They hold
// whatever is registered of the endpoint meanwhile, until a later start of it is.
type Notices struct {
	Leaving bool
	Rest    time.Time // until when the endpoint wants no request

	probed time.Time // until when the first request after the rest is waited for
	proved bool      // an answer to a call after the rest has come
	born   int64
	last   time.Time // when the last of them was heard
}

// probeFor is how long the answer to the first request after a rest is waited for, before another
// is sent.
const probeFor = time.Second

// isResting reports whether the endpoint wants no request, or whether it takes any again is just
// being found out by one.
func (n *Notices) isResting(now time.Time) bool {
	return n != nil && (now.Before(n.Rest) || !n.proved && now.Before(n.probed))
}

// Admit reports whether a call may be made now. The first one after a rest bars the others until
// its answer comes: all at once would be turned away by an endpoint that rests again.
func (n *Notices) Admit(now time.Time) bool {
	switch {
	case n == nil || n.Rest.IsZero() || n.proved:
		return true
	case n.isResting(now):
		return false
	}
	n.probed = now.Add(probeFor)
	return true
}

// NoticeChange is what a notice changes for a host.
type NoticeChange struct {
	Leaves bool // the endpoint said for the first time that it leaves
	Rests  bool // it asked for rest, and was given none before
}

// hear takes in a notice of the endpoint's process.
func (n *Notices) hear(said Notice) (c NoticeChange) {
	c.Leaves = said.Leaving && !n.Leaving
	c.Rests = said.Rest > 0 && !said.Heard.Before(n.Rest)
	n.Leaving = n.Leaving || said.Leaving
	until := said.Heard.Add(said.Rest)
	switch {
	case said.Rest > 0 && until.After(n.Rest):
		n.Rest, n.probed, n.proved = until, time.Time{}, false
	case said.Rest == 0 && !said.Sent.Before(n.Rest):
		n.proved = true
	}
	n.last = said.Heard
	return c
}

// isOf reports whether the notices are those of a start of the endpoint. The first start that is
// told may be theirs.
func (n *Notices) isOf(born int64) bool {
	if n.born == 0 {
		n.born = born
	}
	return born <= n.born
}

const (
	// noticesKept is for how long an endpoint's notices are kept while it isn't registered: a
	// registration that ran out may come back.
	noticesKept = 10 * time.Minute
	// fewNotices is how many are kept whatever their age.
	fewNotices = 64
)

// Hear takes in what an answer of an endpoint said of it, which may have lost its registration
// meanwhile.
func (f *Fleet) Hear(number uint32, said Notice) (c NoticeChange) {
	s := f.states[number]
	n := f.noticesOf(number, said.Born)
	says := said.Leaving || said.Rest > 0
	if s != nil && said.Born < s.Spec.Born || n != nil && said.Born < n.born || n == nil && !says {
		return NoticeChange{}
	}
	if n == nil {
		f.forgetNotices(said.Heard)
		n = &Notices{born: said.Born}
		f.notices[number] = n
	}
	if s != nil {
		s.Notices = n
	}
	return n.hear(said)
}

// noticesOf returns what is known of an endpoint's process by its answers; nil: nothing.
func (f *Fleet) noticesOf(number uint32, born int64) *Notices {
	n := f.notices[number]
	if n != nil && !n.isOf(born) {
		delete(f.notices, number)
		return nil
	}
	return n
}

// forgetNotices drops the notices of endpoints that have been gone for long, whenever there
// are twice as many notices as were left by the last time.
func (f *Fleet) forgetNotices(now time.Time) {
	if len(f.notices) < max(fewNotices, 2*f.noticesLeft) {
		return
	}
	for number, n := range f.notices {
		if f.states[number] == nil && now.Sub(n.last) > noticesKept {
			delete(f.notices, number)
		}
	}
	f.noticesLeft = len(f.notices)
}
