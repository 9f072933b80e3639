package publish

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
	"github.com/embercove/embercove/internal/wait"
)

// Sink takes in what is published.
type Sink interface {
	// Offer offers a revision of the configuration, as it was published.
	Offer(revision uint64, src []byte, from string)
	// OfferRoster offers the endpoints that registered themselves.
	OfferRoster(r *config.Roster, from string)
	// Roster returns the endpoints that are in force, or nil.
	Roster() *config.Roster
	// Eager reports whether this host is one of those that find out soon
	// when the store's watches say nothing. The others hear of it from them.
	Eager() bool
	// Relies reports whether this host relies on others, which have told lately what the
	// store holds.
	Relies() bool
	// Heard notes that what is known here is what the platform held at a moment. asked is
	// when the call was made: a process that was held up since may read an old answer.
	Heard(asked, at time.Time)
	// HeardFor returns how old what is known here is, and whether anything is.
	HeardFor() (age time.Duration, ever bool)
}

// Feed brings what is published to a sink.
type Feed interface {
	// Follow returns when ctx ends.
	Follow(ctx context.Context, sink Sink)
}

// Follower follows a store: it lists once and then watches, and lists anew
// when the store has forgotten. The zero values of its fields are set by
// NewFollower.
type Follower struct {
	store  Store
	log    *zap.Logger
	gather time.Duration // from a change to when the next is known, of hosts that aren't eager
	most   time.Duration // that a watch waits, and for which the store may be unheard
	follow time.Duration // that a watch of an eager host waits
	took   time.Duration // that the last answer with a document took

	at     config.Position
	known  config.Endpoints
	lapsed config.Lapsed                // of the known ones
	empty  map[string]config.Evacuation // by failure domain that is being emptied
	lost   bool                         // the store was out of reach at the last call
	since  time.Time                    // since when
	silent bool                         // some call since then got no answer at all
	relies bool                         // other hosts kept this one up to date at the last look
	shaky  time.Time                    // until when the loss of a registration says nothing
	asked  time.Time                    // when the last call was made
	said   map[string]bool              // faults of published items that were logged
}

// NewFollower returns a feed from a store whose changes have to be in force
// within a bound; 0: lazyGather.
func NewFollower(s Store, bound time.Duration, log *zap.Logger) *Follower {
	f := &Follower{store: s, log: log, gather: lazyGather, most: lazyWait, follow: followWait, empty: map[string]config.Evacuation{}, said: map[string]bool{}}
	if bound > 0 {
		f.gather = time.Duration(lazyShare * float64(bound))
		f.most = time.Duration(unheardShare * float64(bound))
		f.follow = time.Duration(followShare * float64(bound))
	}
	return f
}

// Follow implements Feed.
func (f *Follower) Follow(ctx context.Context, sink Sink) {
	defer f.store.Close()
	retry := retryFirst
	listed := false
	for ctx.Err() == nil {
		if listed && f.rest(ctx, sink) {
			continue
		}
		var err error
		f.asked = time.Now()
		if !listed {
			err = f.list(ctx, sink)
			listed = err == nil
			if listed && !sink.Eager() {
				wait.For(ctx, listedRest)
			}
		} else {
			err = f.watch(ctx, sink)
			// What happened since may be longer than what is: a watch that broke
			// off, because it told of too much, isn't repeated.
			listed = !relist(err) && !errors.Is(err, ErrBroken)
		}
		f.noteReach(ctx, err)
		if relist(err) {
			f.log.Info("store has to be listed", zap.Stringer("at", f.at), zap.Error(err))
		}
		if err == nil || !listed && relist(err) {
			retry = retryFirst
			continue
		}
		wait.For(ctx, spread(retry))
		retry = min(2*retry, retryMost)
	}
}

// relist reports whether the store's answer means that it has to be listed.
func relist(err error) bool { return errors.Is(err, ErrForgotten) || errors.Is(err, ErrLong) }

// noteReach logs when the store is lost and regained.
func (f *Follower) noteReach(ctx context.Context, err error) {
	if ctx.Err() != nil || relist(err) {
		return
	}
	f.silent = f.silent || errors.Is(err, context.DeadlineExceeded)
	if lost := err != nil; lost != f.lost {
		f.lost = lost
		if lost {
			f.since = time.Now()
			f.log.Warn("store lost", zap.Stringer("at", f.at), zap.Duration("after", time.Since(f.asked)), zap.Error(err))
		} else {
			f.silent = false
			f.log.Info("store regained", zap.Stringer("at", f.at))
		}
	}
}

func (f *Follower) list(ctx context.Context, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, ListSilence+answerMost)
	defer cancel()
	asked := time.Now()
	s, err := f.store.List(ctx)
	if err == nil {
		err = f.judgeEra(sink, s.At)
	}
	if err != nil {
		return err
	}
	f.faults(s.Faults)
	now := time.Now()
	f.judgeOutage(now)
	before := f.before(sink)
	f.use(f.listed(before, s.Endpoints, now))
	for _, name := range s.Unusable {
		before = config.Remove(before, name) // it didn't vanish, so nothing speaks for its endpoint
	}
	f.setEvacuated(s.Evacuated)
	f.vanished(missing(before, f.known), false, now)
	f.at = s.At
	if s.Document != nil {
		f.took = s.Took
		sink.Offer(s.Document.Revision, []byte(s.Document.Document), "store")
	}
	f.offer(sink)
	sink.Heard(asked, asked)
	return nil
}

// judgeEra returns an error for an answer of an earlier era than is known here. It logs when the
// store begins a later one.
func (f *Follower) judgeEra(sink Sink, at config.Position) error {
	known := f.at
	if r := sink.Roster(); r != nil {
		known = max(known, r.Revision)
	}
	if at.Era() < known.Era() {
		return ErrEarlierEra
	}
	if at.Era() > known.Era() && known > 0 {
		f.log.Warn("store came back from a copy", zap.Stringer("at", at), zap.Stringer("before", known))
	} else if at < f.at {
		f.log.Warn("store lists an earlier revision than it had", zap.Stringer("at", at), zap.Stringer("before", f.at))
	}
	return nil
}

// offer offers the endpoints to the sink, and goes on from what it made of them.
func (f *Follower) offer(sink Sink) {
	sink.OfferRoster(&config.Roster{Revision: f.at, Endpoints: f.known, Evacuated: f.evacuated()}, "store")
	if r := sink.Roster(); r != nil && r.Revision == f.at {
		f.use(r.Endpoints)
	}
}

// use takes endpoints for those that are known.
func (f *Follower) use(known config.Endpoints) {
	trie.Diff(f.known, known, func(number uint32, _, now *config.Endpoint) { f.lapsed.Note(number, now) })
	f.known = known
}

// listed returns the endpoints of a listing. Those that say what is known already stay the
// same, so that hardly anything differs from before.
func (f *Follower) listed(before config.Endpoints, list []config.Endpoint, now time.Time) config.Endpoints {
	rows := make([]*config.Endpoint, len(list))
	for i, e := range list {
		e = e.Heard(now)
		rows[i] = learned(before, &e)
	}
	return config.EndpointsOf(rows)
}

// learned returns what is known of an endpoint after a registration of it. One of an earlier
// start than is known is late: a process that ended wrote it, or it was long under way.
func learned(before config.Endpoints, e *config.Endpoint) *config.Endpoint {
	was := before.Get(config.NameNumber(e.Name))
	if was != nil && was.Name == e.Name && (e.StartedBefore(was) || config.SameEndpoint(was, e)) {
		return was
	}
	return e
}

// catchUp takes over what peers have told of since the last answer, so that the
// store needn't tell it again. Whoever tells of a roster knows the document
// that was published before it.
func (f *Follower) catchUp(sink Sink) {
	r := sink.Roster()
	if r == nil || r.Revision <= f.at {
		return
	}
	f.at = r.Revision
	f.use(r.Endpoints)
	f.setEvacuated(r.Evacuated)
}

func (f *Follower) watch(ctx context.Context, sink Sink) error {
	eager := sink.Eager()
	if !eager {
		f.catchUp(sink)
	}
	held := f.hold(sink, eager)
	asked := time.Now()
	limited, cancel := context.WithTimeout(ctx, held+answerMost)
	defer cancel()
	c, err := f.store.Watch(limited, f.at, held)
	if err == nil {
		err = f.judgeEra(sink, c.At)
	}
	if err != nil {
		return err
	}
	f.faults(c.Faults)
	now := time.Now()
	f.judgeOutage(now)
	f.at = max(f.at, c.At)
	if c.Document != nil {
		f.took = c.Took
		sink.Offer(c.Document.Revision, []byte(c.Document.Document), "store")
	}
	if c.empty() {
		// What nothing happened to for all of the wait is known as of its end.
		sink.Heard(asked, earlier(now, asked.Add(held)))
		return nil
	}
	f.evacuate(c)
	gone := f.change(c, now)
	f.vanished(gone, true, now)
	f.expire(now)
	// Also where only the document changed: by the roster's revision peers know
	// what they needn't ask the store for.
	f.offer(sink)
	// Only now: others take over how fresh this host is with the revisions that it has.
	sink.Heard(asked, now)
	wait.For(ctx, f.pause(eager))
	return nil
}

// mostSaid is how many faults are remembered, so that each is logged once.
const mostSaid = 256

func (f *Follower) faults(faults []error) {
	for _, err := range faults {
		if f.said[err.Error()] {
			continue
		}
		if len(f.said) == mostSaid {
			clear(f.said)
		}
		f.said[err.Error()] = true
		f.log.Warn("published item left out", zap.Error(err))
	}
}

// change takes in what a watch told of endpoints, and returns those that are gone.
func (f *Follower) change(c *Changes, now time.Time) (gone []*config.Endpoint) {
	known := f.known
	for _, e := range c.Changed {
		e = e.Heard(now)
		known = config.Put(known, learned(known, &e))
	}
	for _, name := range c.Unusable {
		known = config.Remove(known, name)
	}
	for _, name := range c.Gone {
		if e := known.Get(config.NameNumber(name)); e != nil && e.Name == name {
			gone = append(gone, e)
			known = config.Remove(known, name)
		}
	}
	f.use(known)
	return gone
}
