package ledger

import (
	"time"

	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// ReserveReplica reserves memory for a replica of the KV cache of a request that runs on another
// engine, if spare tokens stay free beside it for its whole time. It is granted now or not at all,
// so that it never delays a request. It is released like any reservation, and expires no later than
// a reservation that was never used.
func (l *Ledger) ReserveReplica(now time.Time, a Request, spare int) *result.Error {
	l.expire(now)
	step := l.step()
	c := l.newcomer(a.Tokens+spare, a.Expected, a.MaxAnswer, step)
	for i := range c {
		c[i].n = 0 // a replica takes no slot
	}
	if !l.spec.GrowsMemory || !l.fitsThroughout(l.timeline(now, len(c)), 0, c) {
		return result.Errorf(result.NoDecodeMemory, "no memory for a replica").After(searchBeyond)
	}
	l.add(a, now, now.Add(route.LinkTime(l.spec, a.Bytes)), now.Add(growingLeases*l.lease))
	l.rows[a.Attempt].replica = true
	return nil
}
