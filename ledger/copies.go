package ledger

import (
	"time"

	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// ReserveCopy reserves memory for a copy of an answer that another engine writes, if
// spare tokens stay free beside it all the while. A copy waits for nothing: it is taken
// now or not at all, so that it never stands before a request. It is released as any
// reservation is, and stands no longer than a reservation that was never taken up.
func (l *Ledger) ReserveCopy(now time.Time, a Ask, spare int) *result.Error {
	l.expire(now)
	step := l.step()
	c := l.newcomer(a.Tokens+spare, a.Expected, a.MaxAnswer, step)
	for i := range c {
		c[i].n = 0 // a copy takes no slot
	}
	if !l.spec.GrowsMemory || !l.room(l.timeline(now, len(c)), 0, c) {
		return result.Errorf(result.NoDecodeMemory, "no room for a copy").After(searchBeyond)
	}
	l.add(a, now, now.Add(route.LinkTime(l.spec, a.Bytes)), now.Add(growingLeases*l.lease))
	l.rows[a.Attempt].copied = true
	return nil
}
