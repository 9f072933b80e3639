package publish

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
)

// Store is a platform's store that can be listed and watched, in the
// project's own terms. Nothing is ever written to it.
type Store interface {
	// List returns all that is published now. List and Watch give up when the
	// store says nothing, as a Guard does.
	List(ctx context.Context) (*State, error)
	// Watch returns what changed after a revision of the store, as soon as
	// something did or when wait is over. It returns ErrForgotten when the
	// store no longer knows.
	Watch(ctx context.Context, after config.Position, wait time.Duration) (*Changes, error)
	// Close drops idle connections.
	Close()
}

// ErrForgotten is returned for changes that the store has forgotten, or has lost as it came back
// from a copy.
var ErrForgotten = errors.New("the store has forgotten what changed since")

// ErrEarlierEra is returned for an answer of the store as it was before it came back from a copy.
var ErrEarlierEra = errors.New("answer of an earlier era of the store")

// State is what a store holds.
type State struct {
	At        config.Position
	Document  *Revision
	Endpoints []config.Endpoint
	Evacuated []config.Evacuation
	Unusable  []string      // names of endpoints whose registrations can't be read
	Faults    []error       // items that could not be read, each naming its item
	Took      time.Duration // the answer, from its beginning to its end
}

// Changes is what changed in a store, as of its end: an endpoint that went and
// came again is Changed only, and one that came and went is Gone only. Evacuations
// likewise.
type Changes struct {
	At       config.Position
	Document *Revision         // nil: unchanged
	Changed  []config.Endpoint // new, or with a new state
	Gone     []string          // names of endpoints
	Unusable []string          // the same of those whose registrations can't be read any more
	// Evacuated began or were published anew; Returned are the failure domains whose
	// evacuations were taken back.
	Evacuated []config.Evacuation
	Returned  []string
	Faults    []error
	Took      time.Duration // the answer, from its beginning to its end
}

// empty reports whether nothing but the revision is told.
func (c *Changes) empty() bool {
	return c.Document == nil && len(c.Changed)+len(c.Gone)+len(c.Unusable)+len(c.Evacuated)+len(c.Returned) == 0
}
