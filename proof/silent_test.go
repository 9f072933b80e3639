package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// TestSlowHeartbeatsMakeNoHostGone guards against healthy hosts that count as gone somewhere because their heartbeats
// happened to travel slowly.
func TestSlowHeartbeatsMakeNoHostGone(t *testing.T) {
	const (
		window   = 60 * time.Second
		interval = 500 * time.Millisecond
	)
	for _, hosts := range []int{6, 12, 24, 36, 48, 60, 90, 120} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startOneRegion(t, hosts)
				defer s.shutDown()
				time.Sleep(10 * time.Second)
				gone := 0
				for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(interval) {
					gone += s.countGone()
				}
				if gone > 0 {
					t.Errorf("healthy hosts counted as gone %d times, in %d hosts each %v of %v", gone, hosts, interval, window)
				}
			})
		})
	}
}

// countGone returns how many hosts count as gone, summed over all hosts.
func (s *harness) countGone() (gone int) {
	now := time.Now()
	for _, n := range s.Nodes {
		n.Board.Hosts.Each(now, func(_ *blackboard.Host, live bool) {
			if !live {
				gone++
			}
		})
	}
	return gone
}
