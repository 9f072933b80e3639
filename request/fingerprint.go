package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint identifies the content of a request: two requests have the same one if their
// team, host name, method, path with query, and body are equal. It is the first half of a
// SHA-256 sum, so that all hosts compute the same one, and no caller can construct a
// request with the fingerprint of another team's.
type Fingerprint [fingerprintSize]byte

// fingerprintSize is the size of a fingerprint, in bytes. Finding a request with a given
// fingerprint takes some 2^128 tries.
const fingerprintSize = 16

// FingerprintOf returns the fingerprint of a request. Each part is hashed with its length,
// so that the end of one can't be taken for the beginning of the next.
func FingerprintOf(team, host, method, target string, body []byte) (f Fingerprint) {
	sum := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(team), []byte(host), []byte(method), []byte(target), body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	copy(f[:], sum.Sum(nil))
	return f
}

// IsZero reports whether f is unset.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the form that String returns.
func ParseFingerprint(s string) (f Fingerprint, err error) {
	src, err := hex.DecodeString(s)
	if err != nil || len(src) != len(f) {
		return f, errors.Errorf("fingerprint %q: want %d hex digits", s, 2*len(f))
	}
	copy(f[:], src)
	return f, nil
}
