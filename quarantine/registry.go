package quarantine

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// Verdict says what a request may do.
type Verdict uint8

// The verdicts.
const (
	Free    Verdict = iota // nothing speaks against it
	Suspect                // it runs only by a trial
	Resting                // it will be Suspect again after a rest
	Blamed                 // it is refused
)

// String returns the verdict in words, as operators see it.
func (v Verdict) String() string { return [...]string{"free", "suspect", "resting", "blamed"}[v] }

// Counts and times of a verdict.
const (
	// mostEnds is after how many ends a request is blamed. One may be chance and two a run
	// of bad luck; each costs an endpoint and what ran there besides.
	mostEnds = 3
	// aloneAfter is after how many ends a request runs beside no other suspect: the next
	// end is the one that it is blamed for.
	aloneAfter = mostEnds - 1
	// mostChances is how often a blamed request is tried again: after firstChance, in case it
	// was there by chance three times, and then each time after chanceGrowth times as long,
	// as endpoints are replaced and models mended: 1, 5 and 25 minutes.
	mostChances  = 3
	firstChance  = time.Minute
	chanceGrowth = 5
	// sureAfter is how long after its third end a request rests before it is blamed: other
	// ends, which go on without it, show by then that there are other causes.
	sureAfter = 10 * time.Second
	// mostOthers is how many ends within othersWithin of a request's last one, at which it
	// wasn't, speak for other causes: beside many requests that each end endpoints, some that
	// are sent again and again and do nothing are there three times by chance. Two requests that end endpoints at the same time have three such ends
	// of each other. One among others isn't blamed; it rests, first for firstRest and then
	// each time restGrowth times as long, so that one that does end endpoints is sent three
	// times in the next 100 s, or until nothing else has ended for othersWithin: what ends
	// then is its own doing.
	mostOthers   = 4
	othersWithin = 10 * time.Second
	firstRest    = 3 * time.Second
	restGrowth   = 3
)

// Bounds of what is remembered.
const (
	// suspectKept is how long an end is remembered without another: what comes each hour
	// or less often ends fewer endpoints than break by themselves.
	suspectKept = time.Hour
	// blamedKept is how long a blamed request is remembered after its last end.
	blamedKept = 24 * time.Hour
	// mostCells is how many marks are remembered: some 0.6 MB. An endpoint that ends marks
	// what it had in progress, some tens.
	mostCells = 4096
)

// cellKey names a request in one stage.
type cellKey struct {
	request request.Fingerprint
	stage   Stage
}

// cell is what is known of a request in one stage.
type cell struct {
	mark     Mark
	at       time.Time // when the mark was made
	team     uint32
	process  Process // that ended last
	old      bool    // it had not just begun there
	endpoint string
	host     string // that saw it
}

// Registry holds what is known of requests under which endpoints ended. It is safe for
// concurrent use; it holds its lock while nothing else is called.
type Registry struct {
	host string // this one's name

	mu     sync.Mutex
	cells  map[cellKey]*cell
	recent recent
	events events
	trials trials
	counts Counts
}

// Counts are what a registry counts for operators.
type Counts struct {
	Ends    uint64 // ends of endpoints that this host noted against a request
	Cleared uint64 // requests that it cleared
	Refused uint64 // requests that it refused as blamed
	Trials  uint64 // trials that it gave out
	Evicted uint64 // marks that it forgot for want of room
}

// New returns an empty registry of a host.
func New(host string) *Registry {
	return &Registry{host: host, cells: map[cellKey]*cell{}, events: newEvents(), trials: newTrials()}
}

// Quiet reports whether nothing at all is known, so that no request need be judged.
func (r *Registry) Quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cells) == 0
}

// Judge says what a request may do now, and how long it still rests.
func (r *Registry) Judge(f request.Fingerprint, now time.Time) (v Verdict, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judge(f, now)
}

// NoteRefused counts a request that was refused as blamed.
func (r *Registry) NoteRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Refused++
}

// judge is Judge; the caller holds the lock.
func (r *Registry) judge(f request.Fingerprint, now time.Time) (v Verdict, rest time.Duration) {
	if len(r.cells) == 0 {
		return Free, 0
	}
	ends, last := r.ends(f)
	switch {
	case ends == 0 && !r.wasBeside(f):
		return Free, 0
	case ends < mostEnds, chanceDue(ends, now.Sub(last)):
		return Suspect, 0
	}
	others, latest := r.others(f, last)
	until := last.Add(sureAfter)
	if others >= mostOthers {
		until = earlier(last.Add(grown(firstRest, restGrowth, ends-mostEnds)), latest.Add(othersWithin))
		until = later(until, last.Add(firstRest))
	}
	switch rest = until.Sub(now); {
	case rest > 0:
		return Resting, rest
	case others >= mostOthers:
		return Suspect, 0
	}
	return Blamed, 0
}

// grown returns a time that has grown some times by a factor.
func grown(d time.Duration, by, times int) time.Duration {
	for range times {
		d *= time.Duration(by)
	}
	return d
}

// others returns how many other ends there were about a request's last one, and when the
// latest was; the caller holds the lock.
func (r *Registry) others(f request.Fingerprint, last time.Time) (n int, latest time.Time) {
	for _, e := range r.events.of {
		if last.Sub(e.at).Abs() < othersWithin && !e.has(f) {
			n++
			latest = later(latest, e.at)
		}
	}
	return n, latest
}

// has reports whether a request was there as a process ended.
func (e *event) has(f request.Fingerprint) bool {
	for k := range e.suspects {
		if k.request == f {
			return true
		}
	}
	return false
}

// wasBeside reports whether a request was there as an endpoint ended, though another explains
// that; the caller holds the lock.
func (r *Registry) wasBeside(f request.Fingerprint) bool {
	for s := range stages {
		if c := r.cells[cellKey{f, s}]; c != nil && c.mark.Beside {
			return true
		}
	}
	return false
}

// ends returns how many ends speak against a request, and when the last was; the caller
// holds the lock.
func (r *Registry) ends(f request.Fingerprint) (n int, last time.Time) {
	for s := range stages {
		c := r.cells[cellKey{f, s}]
		if c == nil || c.mark.Ends == 0 {
			continue
		}
		n += int(c.mark.Ends)
		last = later(last, c.at)
	}
	return n, last
}

// chanceDue reports whether a request that is blamed for so many ends may be tried again, so
// long after the last.
func chanceDue(ends int, since time.Duration) bool {
	return ends < mostEnds+mostChances && since >= grown(firstChance, chanceGrowth, ends-mostEnds)
}

// Begin returns the run of a call that is about to be made.
func (r *Registry) Begin(f request.Fingerprint, s Stage, team uint32) Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := Run{Request: f, Stage: s, Team: team}
	if c := r.cells[cellKey{f, s}]; c != nil {
		run.known = c.mark
	}
	return run
}

// Ended notes that a process of an endpoint ended while it ran requests, and returns what all
// hosts are to be told. Those that had just begun are suspected at once; of the others Due
// tells later.
func (r *Registry) Ended(runs []Run, p Process, endpoint string, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		mark := run.after()
		if run.forgiven() {
			r.events.withhold(p, endpoint, run, now)
			mark = run.beside()
		}
		rows = append(rows, r.note(run, mark, p, endpoint, now)...)
	}
	return rows
}

// Due returns what all hosts are to be told of requests that had not just begun when their
// endpoints ended, as nobody is left there who had; to be called ExplainWait after each end.
func (r *Registry) Due(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.due(now)
}

// due is Due; the caller holds the lock.
func (r *Registry) due(now time.Time) (rows []Row) {
	for p, e := range r.events.of {
		if len(e.old) == 0 || now.Sub(e.at) < ExplainWait || r.explained(e) {
			continue
		}
		for _, run := range e.old {
			rows = append(rows, r.note(run, run.after(), p, e.endpoint, now)...)
		}
		e.old = nil
	}
	return rows
}

// explained reports whether a request that had just begun where an event was is still
// suspected; the caller holds the lock.
func (r *Registry) explained(e *event) bool {
	for k, who := range e.suspects {
		if c := r.cells[k]; who.young && c != nil && c.mark.Epoch == who.epoch && c.mark.Ends > 0 {
			return true
		}
	}
	return false
}

// note gives a request the mark of an end, unless it was answered whole lately; the caller
// holds the lock.
func (r *Registry) note(run Run, mark Mark, p Process, endpoint string, now time.Time) []Row {
	k := cellKey{run.Request, run.Stage}
	if r.recent.within(k, now) {
		return nil
	}
	c := &cell{mark: mark, at: now, team: run.Team, process: p, old: run.Old, endpoint: endpoint, host: r.host}
	r.counts.Ends++
	r.events.suspect(p, k, suspect{mark.Epoch, !run.Old}, now)
	r.put(k, c, now)
	return []Row{c.row(k, now)} // though the mark is no higher: it was there at that end too
}

// Whole notes that a run came to a whole answer, which clears its request, and returns what
// all hosts are to be told: nothing for a request that nobody suspects.
func (r *Registry) Whole(run Run, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := cellKey{run.Request, run.Stage}
	r.recent.note(k, now)
	rows := r.clear(k, now)
	if len(rows) > 0 {
		rows = append(rows, r.due(now)...)
	}
	return rows
}

// Clear clears a request in all stages, as an operator orders, and returns what all hosts
// are to be told.
func (r *Registry) Clear(f request.Fingerprint, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range stages {
		rows = append(rows, r.clear(cellKey{f, s}, now)...)
	}
	return append(rows, r.due(now)...)
}

// clear clears a request in one stage; the caller holds the lock.
func (r *Registry) clear(k cellKey, now time.Time) []Row {
	c := r.cells[k]
	if c == nil || c.mark.clean() {
		return nil
	}
	r.counts.Cleared++
	now = later(now, c.at)
	*c = cell{mark: c.mark.cleared(), at: now, team: c.team, host: r.host}
	return []Row{c.row(k, now)}
}

// earlier returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two moments.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Learn takes in what another host told, and returns what all are to be told in turn: that
// a request which is suspected elsewhere was answered whole here just now.
func (r *Registry) Learn(rows []Row, now time.Time) (answer []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Stage >= stages || row.Request.IsZero() {
			continue // of a later version
		}
		k := cellKey{row.Request, row.Stage}
		at := now.Add(-time.Duration(max(0, row.AgeMillis)) * time.Millisecond)
		if !row.Mark.clean() && now.Sub(at) < eventKept {
			r.events.suspect(row.Process, k, suspect{row.Mark.Epoch, !row.Old}, at)
		}
		if !r.put(k, &cell{mark: row.Mark, at: at, team: row.Team, process: row.Process, old: row.Old, endpoint: row.Endpoint, host: row.Host}, now) {
			continue
		}
		if !row.Mark.clean() && r.recent.within(k, now) {
			answer = append(answer, r.clear(k, now)...)
		}
	}
	return append(answer, r.due(now)...)
}

// put takes a cell over if it tells of more than the one that is there, and reports whether
// it did; the caller holds the lock.
func (r *Registry) put(k cellKey, c *cell, now time.Time) bool {
	old := r.cells[k]
	if old != nil && !old.mark.Below(c.mark) || old == nil && c.expired(now) {
		return false
	}
	if old == nil && len(r.cells) >= mostCells && !r.makeRoom(c) {
		return false
	}
	r.cells[k] = c
	return true
}

// makeRoom forgets a cell for a new one, of the team that has the most: a caller who sends
// many different requests that end endpoints pushes out their own team's marks. Of these the
// one with the fewest ends goes, and of such the oldest. It reports whether there is room.
func (r *Registry) makeRoom(c *cell) bool {
	of := map[uint32]int{c.team: 1}
	for _, other := range r.cells {
		of[other.team]++
	}
	most := c.team
	for team, n := range of {
		if n > of[most] || n == of[most] && team < most {
			most = team
		}
	}
	worst, key := c, cellKey{}
	for k, other := range r.cells {
		if other.team == most && (worst.team != most || other.sooner(worst)) {
			worst, key = other, k
		}
	}
	r.counts.Evicted++
	if worst == c {
		return false
	}
	delete(r.cells, key)
	return true
}

// sooner reports whether a cell is forgotten before another.
func (c *cell) sooner(o *cell) bool {
	if c.mark.Ends != o.mark.Ends || c.mark.Beside != o.mark.Beside {
		return Mark{Ends: c.mark.Ends, Beside: c.mark.Beside}.Below(Mark{Ends: o.mark.Ends, Beside: o.mark.Beside})
	}
	return c.at.Before(o.at)
}

// expired reports whether a cell has been kept for long enough.
func (c *cell) expired(now time.Time) bool {
	kept := suspectKept
	if c.mark.Ends >= mostEnds {
		kept = blamedKept
	}
	return now.Sub(c.at) >= kept
}

// Sweep forgets what has been kept for long enough.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.cells {
		if c.expired(now) {
			delete(r.cells, k)
		}
	}
	r.events.sweep(now)
	r.trials.sweep(now)
}

// Rows returns all marks, the latest first, for a host that knows others.
func (r *Registry) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Row, 0, len(r.cells))
	for k, c := range r.cells {
		rows = append(rows, c.row(k, now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.AgeMillis - b.AgeMillis) })
	return rows
}

// RowsOf returns the marks of one request.
func (r *Registry) RowsOf(f request.Fingerprint, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rowsOf(f, now)
}

// rowsOf is RowsOf; the caller holds the lock.
func (r *Registry) rowsOf(f request.Fingerprint, now time.Time) (rows []Row) {
	for s := range stages {
		k := cellKey{f, s}
		if c := r.cells[k]; c != nil {
			rows = append(rows, c.row(k, now))
		}
	}
	return rows
}

func (c *cell) row(k cellKey, now time.Time) Row {
	return Row{Request: k.request, Stage: k.stage, Mark: c.mark, Team: c.team, AgeMillis: max(0, now.Sub(c.at).Milliseconds()),
		Process: c.process, Old: c.old, Endpoint: c.endpoint, Host: c.host}
}

// Sum returns a hash of all marks, which is the same on hosts that know the same; 0: none.
func (r *Registry) Sum() (sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.cells {
		src := append(k.request[:], byte(k.stage))
		src = binary.LittleEndian.AppendUint32(src, c.mark.Epoch)
		src = binary.LittleEndian.AppendUint32(src, c.mark.Ends)
		if c.mark.Beside {
			src = append(src, 1)
		}
		sum ^= xxhash.Sum64(src)
	}
	return sum
}

// Len returns how many marks are known.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cells)
}

// Counts returns what was counted.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
