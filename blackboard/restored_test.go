package blackboard

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

// position returns a position that can be told.
func position(t *testing.T, era, revision uint64) config.Position {
	t.Helper()
	p, err := config.At(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// restoredRow returns an endpoint, by a letter; in upper case it leaves.
func restoredRow(name string, born int64) config.Endpoint {
	leaving := name < "a"
	if leaving {
		name = string(name[0] + 'a' - 'A')
	}
	return config.Endpoint{Name: name, Address: "127.0.0.1:" + string(name[0]-'a'+'1'), Domain: "d", Pool: "p", Role: config.Service, Born: born, Leaving: leaving}
}

// TestRestored offers rosters to a table, and states what is in force after the last one: names of
// endpoints, in upper case where they leave, and failure domains that are being emptied.
func TestRestored(t *testing.T) {
	type roster struct {
		after         time.Duration // the one before
		era, revision uint64
		names         []string
		born          int64
		emptied       []string
	}
	const second = time.Second
	for _, tc := range []struct {
		name    string
		steps   []roster
		after   time.Duration // that it is looked at, after the last one
		want    string
		emptied int
	}{
		{"a lower revision of the same era", []roster{{0, 1, 9, []string{"a"}, 0, nil}, {0, 1, 3, []string{"b"}, 0, nil}}, 0, "a", 0},
		{"a lower revision of a later era", []roster{{0, 1, 9, []string{"a"}, 0, nil}, {0, 2, 3, []string{"a", "b"}, 0, nil}}, 0, "ab", 0},
		{"a higher revision of an earlier era", []roster{{0, 2, 3, []string{"a"}, 0, nil}, {0, 1, 9, []string{"b"}, 0, nil}}, 0, "a", 0},
		{"the store begins to tell an era", []roster{{0, 0, 9, []string{"a"}, 0, nil}, {0, 1, 3, []string{"a", "b"}, 0, nil}}, 0, "ab", 0},
		{"what the copy lacks is kept", []roster{{0, 1, 9, []string{"a", "b"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}}, second, "ab", 0},
		{"for some time", []roster{{0, 1, 9, []string{"a", "b"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}}, 3 * second, "a", 0},
		{"unless it registers again", []roster{{0, 1, 9, []string{"a", "b"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}, {second, 2, 4, []string{"a", "b"}, 0, nil}}, 3 * second, "ab", 0},
		{"what leaves and the copy lacks isn't", []roster{{0, 1, 9, []string{"a", "B"}, 0, nil}, {0, 2, 3, []string{"a"}, 0, nil}}, 0, "a", 0},
		{"a mark that the copy lacks", []roster{{0, 1, 9, []string{"a", "B"}, 0, nil}, {0, 2, 3, []string{"a", "b"}, 0, nil}}, time.Minute, "aB", 0},
		{"and a later roster too", []roster{{0, 1, 9, []string{"a", "B"}, 5, nil}, {0, 2, 3, []string{"a", "b"}, 5, nil}, {0, 2, 4, []string{"a", "b", "c"}, 5, nil}}, 0, "aBc", 0},
		{"a later start has no mark", []roster{{0, 1, 9, []string{"a", "B"}, 5, nil}, {0, 2, 3, []string{"a", "b"}, 6, nil}}, 0, "ab", 0},
		{"an evacuation that the copy lacks", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}}, 9 * second, "a", 1},
		{"is kept for some time", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}}, 11 * second, "a", 0},
		{"or until it was published again", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}, {second, 2, 4, []string{"a"}, 0, []string{"d"}}}, 0, "a", 1},
		{"and taken back", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 2, 3, []string{"a"}, 0, nil}, {second, 2, 4, []string{"a"}, 0, []string{"d"}}, {second, 2, 5, []string{"a"}, 0, nil}}, 0, "a", 0},
		{"an evacuation that was taken back in the same era", []roster{{0, 1, 9, []string{"a"}, 0, []string{"d"}}, {0, 1, 10, []string{"a"}, 0, nil}}, 0, "a", 0},
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
					list.Endpoints = append(list.Endpoints, restoredRow(name, s.born))
				}
				for _, d := range s.emptied {
					list.Evacuated = append(list.Evacuated, config.Evacuation{Domain: d, Revision: at})
				}
				if _, err := table.OfferRoster(list.Roster(), now); err != nil {
					t.Fatal(err)
				}
			}
			table.DropLapsed(now.Add(tc.after))
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
			if got != tc.want || len(v.Evacuated) != tc.emptied {
				t.Errorf("%s in force, %d failure domains emptied; want %s, %d", got, len(v.Evacuated), tc.want, tc.emptied)
			}
		})
	}
}

// TestChangesOfEras has a host that knew more than another of an era hear of the next one from it:
// it is told the whole roster.
func TestChangesOfEras(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := newConfigTable(new(invariant.Set))
	offer := func(at config.Position, names ...string) {
		list := &config.RosterList{Revision: at}
		for _, name := range names {
			list.Endpoints = append(list.Endpoints, restoredRow(name, 0))
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
