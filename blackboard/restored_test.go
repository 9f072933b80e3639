package blackboard

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

// position returns the position of a revision in an era.
func position(t *testing.T, era, revision uint64) config.Position {
	t.Helper()
	p, err := config.At(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// letterEndpoint returns an endpoint with a one-letter name; upper case means that it is leaving.
func letterEndpoint(name string, born int64) config.Endpoint {
	leaving := name < "a"
	if leaving {
		name = string(name[0] + 'a' - 'A')
	}
	return config.Endpoint{Name: name, Address: "127.0.0.1:" + string(name[0]-'a'+'1'), Domain: "d", Pool: "p", Role: config.Service, Born: born, Leaving: leaving}
}

// TestRestored offers rosters to a table, some of them of a restored store, and checks what is in
// force after the last one: endpoints, in upper case if they are leaving, and the number of
// evacuated failure domains.
func TestRestored(t *testing.T) {
	type roster struct {
		after         time.Duration // time since the previous one
		era, revision uint64
		names         []string
		born          int64
		evacuated     []string
	}
	const second = time.Second
	for _, tc := range []struct {
		name      string
		steps     []roster
		after     time.Duration // time of the check, after the last one
		want      string
		evacuated int
	}{
		{"a lower revision of the same era", []roster{{0, 1, 9, []string{"a"}, 0, nil}, {0, 1, 3, []string{"b"}, 0, nil}}, 0, "a", 0},
		{"a lower revision of a later era", []roster{{0, 1, 9, []string{"a"}, 0, nil}, {0, 2, 3, []string{"a", "b"}, 0, nil}}, 0, "ab", 0},
		{"a higher revision of an earlier era", []roster{{0, 2, 3, []string{"a"}, 0, nil}, {0, 1, 9, []string{"b"}, 0, nil}}, 0, "a", 0},
		{"the store begins to report an era", []roster{{0, 0, 9, []string{"a"}, 0, nil}, {0, 1, 3, []string{"a", "b"}, 0, nil}}, 0, "ab", 0},
		{"an endpoint that the backup lacks is kept", []roster{{0, 1, 9, []string{"a", "b"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}}, second, "ab", 0},
		{"for a limited time", []roster{{0, 1, 9, []string{"a", "b"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}}, 3 * second, "a", 0},
		{"unless it registers again", []roster{{0, 1, 9, []string{"a", "b"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}, {second, 2, 4, []string{"a", "b"}, 0, nil}}, 3 * second, "ab", 0},
		{"a leaving endpoint that the backup lacks isn't kept", []roster{{0, 1, 9, []string{"a", "B"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}}, 0, "a", 0},
		{"a leaving mark that the backup lacks", []roster{{0, 1, 9, []string{"a", "B"}, 0, nil}, {0, 2, 3, []string{"a", "b"}, 0, nil}}, time.Minute, "aB", 0},
		{"and that a later roster lacks too", []roster{{0, 1, 9, []string{"a", "B"}, 5, nil}, {0, 2, 3, []string{"a", "b"}, 5, nil}, {0, 2, 4, []string{"a", "b", "c"}, 5, nil}}, 0, "aBc", 0},
		{"a later process isn't leaving", []roster{{0, 1, 9, []string{"a", "B"}, 5, nil}, {0, 2, 3, []string{"a", "b"}, 6, nil}}, 0, "ab", 0},
		{"an evacuation that the backup lacks is kept", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}}, 9 * second, "a", 1},
		{"for a limited time too", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}}, 11 * second, "a", 0},
		{"or until it is published again", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}, {second, 2, 4, []string{"a"}, 0, []string{"d"}}}, 0, "a", 1},
		{"and revoked", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}, {second, 2, 4, []string{"a"}, 0, []string{"d"}}, {second, 2, 5, []string{"a"}, 0, nil}}, 0, "a", 0},
		{"an evacuation that is revoked in the same era", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 1, 10, []string{"a"}, 0, nil}}, 0, "a", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newConfigTable(new(invariant.Set))
			if _, err := table.Offer(1, []byte(rosterDocument)); err != nil {
				t.Fatal(err)
			}
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for _, s := range tc.steps {
				now = now.Add(s.after)
				at := position(t, s.era, s.revision)
				list := &config.RosterList{Revision: at}
				for _, name := range s.names {
					list.Endpoints = append(list.Endpoints, letterEndpoint(name, s.born))
				}
				for _, d := range s.evacuated {
					list.Evacuated = append(list.Evacuated, config.Evacuation{Domain: d, Revision: at})
				}
				if _, err := table.OfferRoster(list.Roster(), now); err != nil {
					t.Fatal(err)
				}
			}
			table.DropExpired(now.Add(tc.after))
			v, got := table.View(), ""
			for _, name := range []string{"a", "b", "c"} {
				e := v.Endpoint(name)
				switch {
				case e != nil && e.Leaving:
					got += string(name[0] - 'a' + 'A')
				case e != nil:
					got += name
				}
			}
			if got != tc.want || len(v.Evacuated) != tc.evacuated {
				t.Errorf("%s in force, %d failure domains evacuated; want %s, %d", got, len(v.Evacuated), tc.want, tc.evacuated)
			}
		})
	}
}

// TestChangesOfEras checks that a host whose roster is of an earlier era is sent the whole roster. It
// may have applied changes of that era that were lost before the sender received them.
func TestChangesOfEras(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := newConfigTable(new(invariant.Set))
	offer := func(at config.Position, names ...string) {
		list := &config.RosterList{Revision: at}
		for _, name := range names {
			list.Endpoints = append(list.Endpoints, letterEndpoint(name, 0))
		}
		if _, err := table.OfferRoster(list.Roster(), now); err != nil {
			t.Fatal(err)
		}
	}
	offer(position(t, 1, 7), "a")
	offer(position(t, 1, 8), "a", "b")
	offer(position(t, 2, 3), "a", "b")
	offer(position(t, 2, 4), "a", "b", "c")
	for _, tc := range []struct {
		after config.Position
		whole bool
	}{{position(t, 1, 8), true}, {position(t, 1, 99), true}, {position(t, 2, 2), true}, {position(t, 2, 3), false}} {
		whole, change := table.RosterSince(tc.after, now)
		if tc.whole != (whole != nil) || tc.whole == (change != nil) {
			t.Errorf("after %s: whole %v, change %v; want the whole roster: %v", tc.after, whole, change, tc.whole)
		}
	}
}
