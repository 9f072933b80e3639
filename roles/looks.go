package roles

import (
	"time"

	"github.com/embercove/embercove/config"
)

// Looks are the last looks at a pool that may be out of balance. The zero value has
// none.
type Looks struct{ last []look }

// look is how many runners of a pool should have changed their role.
type look struct {
	n  int
	to config.Role
	at time.Time
}

const (
	lastsFor  = 3 * time.Second         // a runner that was lost for a moment comes back in its old role
	unseenFor = 1500 * time.Millisecond // without a look, after which the former ones say nothing: three times the time between looks
)

// Lasting takes in a look, and returns how many runners have been out of balance in
// one way for long enough: the fewest of that time. In a large pool their number
// changes all the time, which says nothing against those that are out of balance all
// the while.
func (l *Looks) Lasting(n int, to config.Role, now time.Time) int {
	if k := len(l.last); k > 0 && now.Sub(l.last[k-1].at) > unseenFor {
		l.last = nil
	}
	l.last = append(l.last, look{n: n, to: to, at: now})
	for len(l.last) > 1 && now.Sub(l.last[1].at) >= lastsFor {
		l.last = l.last[1:]
	}
	if now.Sub(l.last[0].at) < lastsFor {
		return 0
	}
	for _, past := range l.last {
		if past.to != to {
			return 0
		}
		n = min(n, past.n)
	}
	return n
}
