package peer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// TestFetcher has hosts report newer revisions during a fetch. It checks that fetches don't
// overlap, and that the next host asked is the one with the newest revisions, then the others
// from the latest report to the earliest, with only the last few remembered.
func TestFetcher(t *testing.T) {
	aheadOf := func(name string, revision uint64, roster config.Position) aheadPeer {
		return aheadPeer{from: HostIdentity{Name: name, Peers: name}, revision: revision, roster: roster}
	}
	cases := []struct {
		name    string
		reports []aheadPeer
		want    []string
	}{
		{"nobody", nil, nil},
		{"newer and older", []aheadPeer{aheadOf("b", 2, 3), aheadOf("c", 3, 4), aheadOf("d", 2, 3)}, []string{"c", "d", "b"}},
		{"equal revisions", []aheadPeer{aheadOf("a", 7, 7), aheadOf("b", 7, 7), aheadOf("c", 7, 7)}, []string{"c", "b", "a"}},
		{"the same host again", []aheadPeer{aheadOf("a", 7, 7), aheadOf("b", 7, 7), aheadOf("a", 8, 8)}, []string{"a", "b"}},
		{"more than maxAheadPeers", []aheadPeer{aheadOf("a", 1, 1), aheadOf("b", 1, 1), aheadOf("c", 1, 1), aheadOf("d", 1, 1), aheadOf("e", 1, 1)},
			[]string{"e", "d", "c", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var f fetcher
			if !f.begin(aheadOf("first", 2, 2)) {
				t.Fatal("the first caller doesn't fetch")
			}
			for _, a := range tc.reports {
				if f.begin(a) {
					t.Errorf("%s fetches concurrently", a.from.Name)
				}
			}
			var got []string
			for a, more := f.end(); more; a, more = f.end() {
				got = append(got, a.from.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("asked next %s, want %s", fmt.Sprint(got), fmt.Sprint(tc.want))
			}
			if !f.begin(aheadOf("again", 9, 9)) {
				t.Error("no fetch is possible after the last one")
			}
		})
	}
}

// TestFetchSilenced silences the open fetch connection, as may happen to all open connections,
// and checks that this fetch and the next still get the newer revision, over a new connection.
func TestFetchSilenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := fake.NewNetwork()
		receiver, source := testRouter("a", "10.0.0.1:81", 0, mem.Dialer("z")), testRouter("b", "10.0.0.2:81", 0, mem.Dialer("z"))
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error)
		l := mem.Listen("z", "10.0.0.2:81")
		go func() { served <- source.Serve(ctx, l) }()
		for revision := uint64(1); revision <= 4; revision++ {
			source.Offer(revision, []byte(newsDocument), "test")
			began := time.Now()
			receiver.fetch(aheadPeer{from: HostIdentity{Name: "b", Peers: "10.0.0.2:81"}, revision: revision})
			if got := receiver.board.Config.Revision(); got != revision {
				t.Errorf("revision %d is in force after the fetch, want %d", got, revision)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the fetch took %s", took)
			}
			if revision%2 == 1 {
				mem.Silence()
			}
		}
		receiver.Close()
		source.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}
