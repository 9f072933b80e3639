package versions

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/request"
)

func answer(i int) request.Fingerprint {
	return request.FingerprintOf("team", "host", "", "", []byte(fmt.Sprint(i)))
}

// TestTable checks what is found of added records.
func TestTable(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		add   []Record
		after time.Duration
		want  string // software of answer 1; empty: not found
	}{
		{"added", []Record{{Answer: answer(1), Software: "v1"}}, 0, "v1"},
		{"another answer", []Record{{Answer: answer(2), Software: "v1"}}, 0, ""},
		{"told twice", []Record{{Answer: answer(1), Software: "v1"}, {Answer: answer(1), Software: "v1"}}, 0, "v1"},
		{"two versions", []Record{{Answer: answer(1), Software: "v1"}, {Answer: answer(1), Software: "v2"}}, 0, ""},
		{"two versions and one again", []Record{{Answer: answer(1), Software: "v1"}, {Answer: answer(1), Software: "v2"}, {Answer: answer(1), Software: "v1"}}, 0, ""},
		{"nearly expired", []Record{{Answer: answer(1), Software: "v1"}}, keepFor - time.Second, "v1"},
		{"expired", []Record{{Answer: answer(1), Software: "v1"}}, keepFor, ""},
		{"old when told", []Record{{Answer: answer(1), Software: "v1", AgeMillis: keepFor.Milliseconds() - 1000}}, 2 * time.Second, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			for _, r := range tc.add {
				table.Add(r, now)
			}
			got, ok := table.Find(answer(1), now.Add(tc.after))
			if got.Software != tc.want || ok != (tc.want != "") {
				t.Errorf("found %q, %v, want %q", got.Software, ok, tc.want)
			}
		})
	}
}

// TestTableBound checks that a full table drops its oldest records, and that expired ones make room.
func TestTableBound(t *testing.T) {
	now := time.Now()
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Add(Record{Answer: answer(i), Software: "v1"}, now)
	}
	if n := table.Len(); n != maxRecords {
		t.Errorf("%d records, want %d", n, maxRecords)
	}
	for i, want := range map[int]bool{0: false, 9: false, 10: true, maxRecords + 9: true} {
		if _, ok := table.Find(answer(i), now); ok != want {
			t.Errorf("answer %d: found %v, want %v", i, ok, want)
		}
	}
	if n := table.Counts().Evicted; n != 10 {
		t.Errorf("%d evicted, want 10", n)
	}
	table.Add(Record{Answer: answer(-1), Software: "v1"}, now.Add(keepFor))
	if n := table.Len(); n != 1 {
		t.Errorf("%d records after the others expired, want 1", n)
	}
}

// TestTableSince checks the records that a leaving host hands over.
func TestTableSince(t *testing.T) {
	now := time.Now()
	table := NewTable()
	for i := range 5 {
		table.Add(Record{Answer: answer(i), Software: "v1", AgeMillis: int64(5-i) * 1000}, now)
	}
	table.Add(Record{Answer: answer(4), Software: "v2"}, now)
	got := table.Since(4*time.Second, 2, now)
	if len(got) != 2 || got[0].Answer != answer(3) || got[1].Answer != answer(2) || got[0].AgeMillis != 2000 {
		t.Errorf("got %v", got)
	}
}
