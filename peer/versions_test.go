package peer

import (
	"testing"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
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
