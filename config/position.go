package config

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a moment in the history of a store, which later ones are higher than. It is an era
// and a revision: a store that comes back from a copy begins an era, in which it gives out
// revisions again that it had given out before. 0 is before anything.
type Position uint64

// revisionBits is how many bits of a position are its revision; those above are its era.
const revisionBits = 48

// Bounds of what makes up a position.
const (
	MostEra      = 1<<(64-revisionBits) - 1
	MostRevision = 1<<revisionBits - 1
)

// At returns the position of a revision in an era.
func At(era, revision uint64) (Position, error) {
	switch {
	case era > MostEra:
		return 0, errors.Errorf("era %d: above %d", era, MostEra)
	case revision > MostRevision:
		return 0, errors.Errorf("revision %d: above %d", revision, uint64(MostRevision))
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the era; 0: the store doesn't tell it.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision, which has a meaning within its era alone.
func (p Position) Revision() uint64 { return uint64(p) & MostRevision }

// MarshalJSON implements json.Marshaler.
func (p Position) MarshalJSON() ([]byte, error) {
	if p.Era() == 0 {
		return []byte(p.String()), nil
	}
	return []byte(strconv.Quote(p.String())), nil
}

// UnmarshalJSON implements json.Unmarshaler: it reads what MarshalJSON and logs write.
func (p *Position) UnmarshalJSON(src []byte) error {
	era, revision, told := strings.Cut(strings.Trim(string(src), `"`), "/")
	if !told {
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

// String returns the position as operators see it: era/revision, or the revision alone where no
// era is told.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision(), 10)
	if p.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era(), 10) + "/" + revision
}
