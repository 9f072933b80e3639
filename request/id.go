// Package request identifies requests and their attempts across processes.
package request

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ID identifies a request by the entry host that received it, the incarnation of that
// process and a counter. It is unique, because a restarted process has another incarnation.
type ID struct {
	Host        uint32 // HostNumber of the entry host's name
	Incarnation uint64 // start of the process, ms since 1970
	Counter     uint64
}

// HostNumber returns the short number that identifies a host name in IDs and messages.
func HostNumber(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// IsZero reports whether id is unset.
func (id ID) IsZero() bool { return id == ID{} }

// String returns the form host-incarnation-counter, in base 36.
func (id ID) String() string {
	return strconv.FormatUint(uint64(id.Host), 36) + "-" +
		strconv.FormatUint(id.Incarnation, 36) + "-" +
		strconv.FormatUint(id.Counter, 36)
}

// Parse parses the form that String returns. Endpoints also report requests of other
// clients, so an error is normal: it means that the request isn't embercove's.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		return ID{}, errors.Errorf("request id %q: want three parts", s)
	}
	host, err := strconv.ParseUint(parts[0], 36, 32)
	if err != nil {
		return ID{}, errors.Wrapf(err, "request id %q: host", s)
	}
	inc, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return ID{}, errors.Wrapf(err, "request id %q: incarnation", s)
	}
	n, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return ID{}, errors.Wrapf(err, "request id %q: counter", s)
	}
	return ID{Host: uint32(host), Incarnation: inc, Counter: n}, nil
}

// Attempt identifies one use of an endpoint by a request, such as a reservation and the call
// that uses it. Its number tells late answers of earlier attempts apart.
type Attempt struct {
	ID     ID
	Number uint32
}

// String returns the form that endpoints receive as the request id.
func (a Attempt) String() string {
	return a.ID.String() + "." + strconv.FormatUint(uint64(a.Number), 36)
}

// ParseAttempt parses the form that Attempt.String returns.
func ParseAttempt(s string) (Attempt, error) {
	base, num, ok := strings.Cut(s, ".")
	if !ok {
		return Attempt{}, errors.Errorf("attempt %q: no number", s)
	}
	id, err := Parse(base)
	if err != nil {
		return Attempt{}, err
	}
	n, err := strconv.ParseUint(num, 36, 32)
	if err != nil {
		return Attempt{}, errors.Wrapf(err, "attempt %q: number", s)
	}
	return Attempt{ID: id, Number: uint32(n)}, nil
}
