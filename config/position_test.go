package config

import (
	"encoding/json"
	"testing"
)

// TestPosition checks the order of positions and their JSON and text forms.
func TestPosition(t *testing.T) {
	before := Position(0)
	for _, tc := range []struct {
		era, revision uint64
		text, src     string
	}{
		{0, 1, "1", `1`},
		{0, MaxRevision, "281474976710655", `281474976710655`},
		{1, 0, "1/0", `"1/0"`},
		{1, 44, "1/44", `"1/44"`},
		{2, 3, "2/3", `"2/3"`},
		{MaxEra, MaxRevision, "65535/281474976710655", `"65535/281474976710655"`},
	} {
		p, err := At(tc.era, tc.revision)
		if err != nil || p <= before || p.Era() != tc.era || p.Revision() != tc.revision || p.String() != tc.text {
			t.Errorf("%s: %d/%d, %v, after %s", p, p.Era(), p.Revision(), err, before)
		}
		src, err := json.Marshal(p)
		if err != nil || string(src) != tc.src {
			t.Errorf("%s is written as %s, %v", p, src, err)
		}
		var read Position
		if err := json.Unmarshal(src, &read); err != nil || read != p {
			t.Errorf("%s is read as %s, %v", p, read, err)
		}
		before = p
	}
	if _, err := At(MaxEra+1, 0); err == nil {
		t.Error("an era above the maximum is accepted")
	}
	if _, err := At(0, MaxRevision+1); err == nil {
		t.Error("a revision above the maximum is accepted")
	}
	for _, src := range []string{`""`, `"1/"`, `"/1"`, `"x"`, `-1`, `"1/2/3"`, `281474976710656`, `"65536/1"`} {
		if err := json.Unmarshal([]byte(src), new(Position)); err == nil {
			t.Errorf("%s is accepted", src)
		}
	}
}
