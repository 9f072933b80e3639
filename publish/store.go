package publish

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
)

// Store is a platform's store that can be listed and watched, independent of its protocol. It is
// never written to.
type Store interface {
	// List returns everything that is published now. List and Watch time out when the store is
	// silent, as a Guard does.
	List(ctx context.Context) (*State, error)
	// Watch returns what changed after a position of the store, as soon as something did or when
	// wait is over. It returns ErrCompacted if the store no longer has these changes.
	Watch(ctx context.Context, after config.Position, wait time.Duration) (*Changes, error)
	// Close drops idle connections.
	Close()
}

// ErrCompacted is returned if the store no longer has the requested changes, because it dropped
// its history or was restored from a backup.
var ErrCompacted = errors.New("the store no longer has the changes since then")

// ErrEarlierEra is returned for an answer that dates from before the store was restored from a
// backup.
var ErrEarlierEra = errors.New("answer of an earlier era of the store")

// State is what a store holds.
type State struct {
	At        config.Position
	Document  *Revision
	Endpoints []config.Endpoint
	Evacuated []config.Evacuation
	Unusable  []string      // names of endpoints whose registrations can't be read
	Faults    []error       // errors of unreadable items, each naming its item
	Took      time.Duration // duration of the answer
}

// Changes is the net change of a store: an endpoint that went and came again is only in Changed,
// and one that came and went only in Gone. The same holds for evacuations.
type Changes struct {
	At       config.Position
	Document *Revision         // nil: unchanged
	Changed  []config.Endpoint // new or updated
	Gone     []string          // names of endpoints
	Unusable []string          // names of endpoints whose registrations can't be read any more
	// Evacuated holds the evacuations that began or were published anew, Returned the failure
	// domains whose evacuations ended.
	Evacuated []config.Evacuation
	Returned  []string
	Faults    []error
	Took      time.Duration // duration of the answer
}

// isEmpty reports whether there is nothing but a new position.
func (c *Changes) isEmpty() bool {
	return c.Document == nil && len(c.Changed)+len(c.Gone)+len(c.Unusable)+len(c.Evacuated)+len(c.Returned) == 0
}
