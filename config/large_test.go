package config

import (
	"bytes"
	"fmt"
	"testing"
)

// largeSource returns a document with the given number of routes and an optional comment.
func largeSource(routes int, comment string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, `{%s"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10}, "pools": [{"name": "p", "slots": 4}], "routes": [`, comment)
	for i := range routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name": "r%d", "host": "h", "path_prefix": "/%d/", "pools": [{"pool": "p", "weight": 1}]}`, i, i)
	}
	out.WriteString("]}")
	return out.Bytes()
}

// TestPlainOrCommented checks that a document with comments, which takes another path through the
// parser, gives the same view and the same error positions as a plain one.
func TestPlainOrCommented(t *testing.T) {
	plain, err := NewView(1, largeSource(50, ""))
	if err != nil {
		t.Fatal(err)
	}
	commented, err := NewView(1, largeSource(50, "/* of the operator */"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []*View{plain, commented} {
		if r := v.RouteFor("h", "/49/x"); r == nil || r.Name != "r49" || len(v.Routes) != 50 {
			t.Errorf("route %+v of %d", r, len(v.Routes))
		}
	}
	for _, src := range []string{`{"pools": 3}`, `{"pools": 3} /* of the operator */`} {
		if _, err := NewView(1, []byte(src)); err == nil || err.Error() != `1:12: pools = number: want []config.Pool` {
			t.Errorf("%s: %v", src, err)
		}
	}
}

func BenchmarkLargeDocument(b *testing.B) {
	src := largeSource(4200, "")
	for b.Loop() {
		if _, err := NewView(1, src); err != nil {
			b.Fatal(err)
		}
	}
}
