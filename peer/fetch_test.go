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

// TestFetcher has hosts tell of something newer during a fetch, and checks that fetches
// don't run beside each other and who is asked next: who told of the most, then the
// others, the last one first, and of many the last few.
func TestFetcher(t *testing.T) {
	told := func(name string, revision uint64, roster config.Position) ahead {
		return ahead{from: Name{Name: name, Peers: name}, revision: revision, roster: roster}
	}
	cases := []struct {
		name  string
		tells []ahead
		want  []string
	}{
		{"nobody", nil, nil},
		{"of more and less", []ahead{told("b", 2, 3), told("c", 3, 4), told("d", 2, 3)}, []string{"c", "d", "b"}},
		{"of the same", []ahead{told("a", 7, 7), told("b", 7, 7), told("c", 7, 7)}, []string{"c", "b", "a"}},
		{"the same host again", []ahead{told("a", 7, 7), told("b", 7, 7), told("a", 8, 8)}, []string{"a", "b"}},
		{"more than are remembered", []ahead{told("a", 1, 1), told("b", 1, 1), told("c", 1, 1), told("d", 1, 1), told("e", 1, 1)},
			[]string{"e", "d", "c", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var f fetcher
			if !f.begin(told("first", 2, 2)) {
				t.Fatal("the first does not fetch")
			}
			for _, a := range tc.tells {
				if f.begin(a) {
					t.Errorf("%s fetches beside another", a.from.Name)
				}
			}
			var got []string
			for a, more := f.end(); more; a, more = f.end() {
				got = append(got, a.from.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("asked next %s, want %s", fmt.Sprint(got), fmt.Sprint(tc.want))
			}
			if !f.begin(told("again", 9, 9)) {
				t.Error("after the last, nobody may fetch")
			}
		})
	}
}

// TestFetchSilenced has the connection for fetches go silent, as all open ones may, and
// checks that a fetch still gets what is newer, over a new one, and the next fetch as well.
func TestFetchSilenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := fake.NewNetwork()
		asker, giver := testRouter("a", "10.0.0.1:81", 0, mem.Dialer("z")), testRouter("b", "10.0.0.2:81", 0, mem.Dialer("z"))
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error)
		l := mem.Listen("z", "10.0.0.2:81")
		go func() { served <- giver.Serve(ctx, l) }()
		for revision := uint64(1); revision <= 4; revision++ {
			giver.Offer(revision, []byte(newsDocument), "test")
			began := time.Now()
			asker.fetch(ahead{from: Name{Name: "b", Peers: "10.0.0.2:81"}, revision: revision})
			if got := asker.board.Config.Revision(); got != revision {
				t.Errorf("revision %d is in force after the fetch, want %d", got, revision)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the fetch took %s", took)
			}
			if revision%2 == 1 {
				mem.Silence()
			}
		}
		asker.Close()
		giver.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}
