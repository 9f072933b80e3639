package peer

import (
	"sync"
	"time"
)

// Hosts that start together all join through the same few seeds, whose links may be narrow. When
// late answers were abandoned after the ordinary call timeout and requested again, 300 hosts each
// made 25 exchanges per second with two seeds. The seeds then owed them 8 MB/s over links of 1.25
// MB/s, no answer arrived in time, and no host met a third one within 5.5 s of simulated time. So
// a joining host waits for a late answer instead of asking again.

// joinTimeout is how late an answer may be while joining. The first answers to 300 hosts, 2 KB
// each, take 0.5 s over one link of 10 Mbit/s, and twice as long while the seed itself lists the
// store.
const joinTimeout = 1500 * time.Millisecond

// joinExchanges are the hosts with which an exchange is running. The zero value is ready to use.
type joinExchanges struct {
	mu         sync.Mutex
	inProgress map[string]bool // by address
}

// begin reports whether no exchange with an address is running, and if so records one.
func (j *joinExchanges) begin(addr string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inProgress[addr] {
		return false
	}
	if j.inProgress == nil {
		j.inProgress = map[string]bool{}
	}
	j.inProgress[addr] = true
	return true
}

// end records that an exchange has ended.
func (j *joinExchanges) end(addr string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.inProgress, addr)
}
