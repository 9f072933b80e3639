package request

import (
	"bytes"
	"testing"
)

// TestFingerprint checks that each part counts, that moving bytes from one part to the next
// changes the fingerprint, and that the string form is parsed back.
func TestFingerprint(t *testing.T) {
	same := FingerprintOf("t", "h", "POST", "/a/b?c", []byte("body"))
	if same != FingerprintOf("t", "h", "POST", "/a/b?c", []byte("body")) {
		t.Error("fingerprints of the same request differ")
	}
	seen := map[Fingerprint]bool{same: true}
	for _, f := range []Fingerprint{
		FingerprintOf("u", "h", "POST", "/a/b?c", []byte("body")),
		FingerprintOf("t", "i", "POST", "/a/b?c", []byte("body")),
		FingerprintOf("t", "h", "PUT", "/a/b?c", []byte("body")),
		FingerprintOf("t", "h", "POST", "/a/b?d", []byte("body")),
		FingerprintOf("t", "h", "POST", "/a/b?c", []byte("bodies")),
		FingerprintOf("t", "h", "POST", "/a/b?cbody", nil),
		FingerprintOf("th", "", "POST", "/a/b?c", []byte("body")),
	} {
		if seen[f] {
			t.Errorf("%s is the fingerprint of two requests", f)
		}
		seen[f] = true
	}
	if back, err := ParseFingerprint(same.String()); err != nil || back != same {
		t.Errorf("%s is parsed as %s, %v", same, back, err)
	}
	for _, bad := range []string{"", "zz", same.String()[1:], same.String() + "00"} {
		if _, err := ParseFingerprint(bad); err == nil {
			t.Errorf("%q is parsed as a fingerprint", bad)
		}
	}
}

// BenchmarkFingerprint measures the cost of a fingerprint for a request with a body of 200
// kB.
func BenchmarkFingerprint(b *testing.B) {
	body := bytes.Repeat([]byte("body"), 50_000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("team", "host.example", "POST", "/path/of/some/length", body)
	}
}
