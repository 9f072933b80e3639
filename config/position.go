package config

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a point in the history of a store; later ones are higher. It consists of an era and
// a revision. A store that is restored from a backup begins a new era, because it assigns revisions
// again that it had assigned before. 0 is before any other position.
type Position uint64

// revisionBits is the number of low bits of a position that hold the revision; the high bits
// hold the era.
const revisionBits = 48

// Maximum values of the parts of a position.
const (
	MaxEra      = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// At returns the position of a revision in an era.
func At(era, revision uint64) (Position, error) {
	switch {
	case era > MaxEra:
		return 0, errors.Errorf("era %d: above %d", era, MaxEra)
	case revision > MaxRevision:
		return 0, errors.Errorf("revision %d: above %d", revision, uint64(MaxRevision))
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the era; 0: the store doesn't report one.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision, which is only meaningful within its era.
func (p Position) Revision() uint64 { return uint64(p) & MaxRevision }

// MarshalJSON implements json.Marshaler.
func (p Position) MarshalJSON() ([]byte, error) {
	if p.Era() == 0 {
		return []byte(p.String()), nil
	}
	return []byte(strconv.Quote(p.String())), nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts the output of MarshalJSON and of String.
func (p *Position) UnmarshalJSON(src []byte) error {
	era, revision, hasEra := strings.Cut(strings.Trim(string(src), `"`), "/")
	if !hasEra {
		era, revision = "0", era
	}
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "position %s", src)
	}
	n, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return errors.Wrapf(err, "position %s", src)
	}
	*p, err = At(e, n)
	return errors.Wrapf(err, "position %s", src)
}

// String returns the position as shown to operators: era/revision, or only the revision if there
// is no era.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision(), 10)
	if p.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era(), 10) + "/" + revision
}
