package owner

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// Where a failure domain is being emptied, its endpoints get nothing more to do: their
// owners give out no turn and no memory. What runs goes on to its end, so reports are
// read and orphans freed as before. Reservations are given back by the hosts that hold
// them, when their turn comes: nobody else may use that room meanwhile.

// emptiedRetry is after how long a request is told to ask again at an endpoint that is
// being emptied, which it doesn't: it is placed elsewhere at once.
const emptiedRetry = 2 * time.Second

// refuseEmptied returns the refusal of whatever asks for an endpoint of a failure domain
// that is being emptied; nil: it isn't. It looks at the view in use, which is put in
// place before Empty is called. The caller holds the book's lock, so that no request is
// let in behind Empty.
func (o *Owner) refuseEmptied(b *Book) *result.Error {
	v := o.board.Config.View()
	if v == nil {
		return nil
	}
	spec := v.Endpoints.Get(b.number)
	if spec == nil || !v.Emptied(spec) {
		return nil
	}
	o.TurnedAway.Add(1)
	return emptied(spec)
}

func emptied(spec *config.Endpoint) *result.Error {
	return result.Errorf(result.Evacuated, "the failure domain of %s is being emptied", spec.Name).After(emptiedRetry)
}

// Empty refuses the requests that wait at endpoints of failure domains that are being
// emptied by the view in use, so that their hosts place them anew.
func (o *Owner) Empty(v *config.View) {
	o.mu.Lock()
	books := make([]*Book, 0, len(o.books))
	for _, b := range o.books {
		books = append(books, b)
	}
	o.mu.Unlock()
	for _, b := range books {
		if spec := v.Endpoints.Get(b.number); spec != nil && v.Emptied(spec) {
			o.TurnedAway.Add(b.empty(spec))
		}
	}
}

// empty refuses the requests that wait, and returns how many.
func (b *Book) empty(spec *config.Endpoint) (n uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue == nil {
		return 0
	}
	for _, it := range b.queue.Clear() {
		it.Answer <- emptied(spec)
		n++
	}
	return n
}
