package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/request"
)

// TestSoftwareOfEarlierHosts guards against endpoints whose software version was lost on the way through a host of an
// earlier version, and which then seem to run the same one.
func TestSoftwareOfEarlierHosts(t *testing.T) {
	for _, stated := range []bool{true, false} {
		var p packer
		list := &config.RosterList{Revision: 3, Endpoints: []config.Endpoint{{Name: "i-1", Software: "v1"}, {Name: "i-2"}, {Name: "i-3"}}}
		packed, err := p.packRoster(list)
		if err != nil {
			t.Fatal(err)
		}
		r := &Router{log: zap.NewNop()}
		roster := r.rosterOf(&FetchReply{Whole: packed, Software: stated}, HostIdentity{})
		software := func(name string) string { return roster.Endpoints.Get(config.NameNumber(name)).Software }
		if same := software("i-2") == software("i-3"); same != stated {
			t.Errorf("stated %v: endpoints without software seem to run the same: %v", stated, same)
		}
		if known := software("i-1") == "v1"; known != stated {
			t.Errorf("stated %v: software %q is believed: %v", stated, software("i-1"), known)
		}
	}
}

// TestFewHostsHoldVersions guards against hosts that open connections to the whole fleet to tell which software version
// began an answer, and against answers whose holders all move as one host leaves.
func TestFewHostsHoldVersions(t *testing.T) {
	const hosts, answers = 300, 500
	r := informedRouter(t, time.Second)
	now := time.Now()
	for i := range hosts {
		name := fmt.Sprint("h", i)
		r.board.Hosts.Learn(blackboard.Host{Name: name, Number: request.HostNumber(name), Domain: "d", Region: "r", Incarnation: 1, Heartbeat: 1, Peers: "127.0.0.1:2"}, now)
	}
	answer := func(i int) request.Fingerprint {
		return request.FingerprintOf("t", "h", "", "", []byte(fmt.Sprint(i)))
	}
	told := func() (of []uint32, counts map[uint32]int) {
		counts = map[uint32]int{}
		for i := range answers {
			r.board.Hosts.ResetSilence(time.Now()) // however long the test takes
			holders, _ := r.versionHosts(answer(i), recordersPerDomain, r.inOwnRegion)
			if len(holders) != 1 {
				t.Fatalf("answer %d: told to %d hosts, want 1", i, len(holders))
			}
			of = append(of, holders[0].Number)
			counts[holders[0].Number]++
		}
		return of, counts
	}
	before, counts := told()
	if len(counts) > maxRecorders {
		t.Errorf("%d hosts hold versions, want at most %d", len(counts), maxRecorders)
	}
	for host, n := range counts {
		if n > 2*answers/maxRecorders {
			t.Errorf("host %d holds %d of %d", host, n, answers)
		}
	}
	r.board.Hosts.MarkUnconfirmed(before[0]) // it is skipped, and no other one moves
	moved := 0
	for i := range answers {
		r.board.Hosts.ResetSilence(time.Now())
		asked, _ := r.versionHosts(answer(i), askedPerDomain, r.inOwnRegion)
		if before[i] != before[0] && !slices.ContainsFunc(asked, func(h blackboard.Host) bool { return h.Number == before[i] }) {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of %d answers are looked for elsewhere", moved, answers)
	}
}
