package publish

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/embercove/embercove/config"
)

// eraSink accepts rosters in order of revision, as hosts do, and counts the confirmed answers of
// the store.
type eraSink struct {
	stubSink
	confirmations int
}

func (s *eraSink) OfferRoster(r *config.Roster, _ string) {
	if s.roster == nil || r.Revision > s.roster.Revision {
		s.roster = r
	}
}

func (s *eraSink) Confirmed(time.Time, time.Time) { s.confirmations++ }

// eraStore answers with the given positions, one per call, and then blocks.
type eraStore struct {
	at []config.Position
}

func (s *eraStore) next(ctx context.Context) (config.Position, error) {
	if len(s.at) == 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	at := s.at[0]
	s.at = s.at[1:]
	return at, nil
}

func (s *eraStore) List(ctx context.Context) (*State, error) {
	at, err := s.next(ctx)
	return &State{At: at, Endpoints: rows([]string{"a1"}, nil)}, err
}

func (s *eraStore) Watch(ctx context.Context, after config.Position, _ time.Duration) (*Changes, error) {
	at, err := s.next(ctx)
	if err == nil && at.Era() != after.Era() {
		return nil, ErrCompacted
	}
	return &Changes{At: at, Changed: rows([]string{"a1"}, nil)}, err
}

func (s *eraStore) Close() {}

// TestEarlierEra has a store answer with positions of an earlier era than the one known from
// another host. Such answers must change nothing and must not count as a confirmation.
func TestEarlierEra(t *testing.T) {
	at := func(era, revision uint64) config.Position {
		p, err := config.At(era, revision)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	for _, tc := range []struct {
		name          string
		answers       []config.Position
		known         config.Position // from another host; 0: none
		want          config.Position // in force at the end
		confirmations int
		restoreLogs   int // log lines saying that the store came back from a backup
	}{
		{"one era", []config.Position{at(1, 3), at(1, 4)}, 0, at(1, 4), 2, 0},
		{"a later era", []config.Position{at(1, 9), at(2, 4), at(2, 4), at(2, 5)}, 0, at(2, 5), 3, 1},
		{"an earlier era", []config.Position{at(1, 9), at(1, 10)}, at(2, 3), at(2, 3), 0, 0},
		{"an earlier era, and then the one that is known", []config.Position{at(1, 9), at(2, 4)}, at(2, 3), at(2, 4), 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zap.InfoLevel)
				sink := new(eraSink)
				if tc.known > 0 {
					sink.roster = &config.Roster{Revision: tc.known}
				}
				ctx, cancel := context.WithCancel(t.Context())
				go NewFollower(&eraStore{at: tc.answers}, 0, zap.New(core)).Follow(ctx, sink)
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				if sink.roster.Revision != tc.want || sink.confirmations != tc.confirmations {
					t.Errorf("at %s, confirmed %d times; want %s, %d", sink.roster.Revision, sink.confirmations, tc.want, tc.confirmations)
				}
				if n := logs.FilterMessage("store came back from a copy").Len(); n != tc.restoreLogs {
					t.Errorf("%d log lines of a restored store, want %d", n, tc.restoreLogs)
				}
			})
		})
	}
}
