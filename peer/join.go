package peer

import (
	"sync"
	"time"
)

// Hosts that start together all join by the same few, whose links may be narrow. With
// answers that were given up after the time of a call and asked for again, each of 300
// hosts made 25 exchanges a second with two, which owed them 8 MB a second over links of
// 1.25, so that no answer came in time and no host met a third one in 5.5 s (virtual
// time). So while a host joins it waits for an answer that is late instead of asking again.

// joinPatience is how long an answer may be late: the first ones to 300 hosts, 2 KB each,
// take 0.5 s over one link of 10 Mbit/s, twice as long beside its own listing of the store.
const joinPatience = 1500 * time.Millisecond

// joins are the hosts with which an exchange is under way. The zero value works.
type joins struct {
	mu    sync.Mutex
	under map[string]bool // by address
}

// begin reports whether none is under way with an address, and notes that one is.
func (j *joins) begin(addr string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.under[addr] {
		return false
	}
	if j.under == nil {
		j.under = map[string]bool{}
	}
	j.under[addr] = true
	return true
}

// end notes that an exchange has ended.
func (j *joins) end(addr string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.under, addr)
}
