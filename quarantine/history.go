package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// A mark counts crashes under runs that began with the same knowledge as one, which says little of how many endpoints crashed:
// equal runs begin side by side on hosts that can't hear each other in time. So a record also holds which processes crashed
// while the request was there, and the retries that were granted after the third of them. Hosts merge both as sets.

const (
	// maxKeptCrashes is how many crashed processes a record names. More make no difference to a verdict.
	maxKeptCrashes = 16
	// maxKeptRetries is how many retries a record names.
	maxKeptRetries = 8
	// inconclusiveTTL is how long a retry that told nothing counts as one of maxRetries.
	inconclusiveTTL = 30 * time.Minute
)

// ProcessCrash is the crash of a process while a request ran there.
type ProcessCrash struct {
	Process   Process
	AgeMillis int64
	Young     bool   // the request had just begun there
	Endpoint  uint32 // of the process (endpointKey); 0: not known
}

// RetryRow is a retry of a request in the form sent to other hosts.
type RetryRow struct {
	Holder    uint64 // of its probe
	AgeMillis int64
	End       RetryEnd
}

// RetryEnd says how a retry ended. Of two reports the higher one holds.
type RetryEnd uint8

// Kinds of ends of retries.
const (
	RetryPending      RetryEnd = iota // nothing is known: it is in progress, or its host is gone
	RetryInconclusive                 // its endpoint went on, and it had no complete answer
	RetryCrashed                      // its endpoint crashed
	RetryUnsent                       // no endpoint got it
)

// retry is a probe that was granted after the third crash.
type retry struct {
	at  time.Time
	end RetryEnd
}

// pastCrash is the crash of a process while a request ran there.
type pastCrash struct {
	at       time.Time
	young    bool
	endpoint uint32 // of the process (endpointKey); 0: not known
}

// endpointKey identifies an endpoint by its name, on all hosts.
func endpointKey(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name)) | 1
}

// history is what is known of the crashes and retries of a request in one stage since it was last cleared.
type history struct {
	crashes map[Process]pastCrash
	retries map[uint64]retry // by holder
}

// addCrash adds a crash. Of two reports of the same one the earlier holds.
func (h *history) addCrash(p Process, c pastCrash) {
	if known, ok := h.crashes[p]; ok {
		h.crashes[p] = pastCrash{earlier(known.at, c.at), known.young || c.young, max(known.endpoint, c.endpoint)}
		return
	}
	if h.crashes == nil {
		h.crashes = map[Process]pastCrash{}
	}
	h.crashes[p] = c
	trim(h.crashes, maxKeptCrashes)
}

// youngCrashes returns at how many crashes the request had just begun.
func (h *history) youngCrashes() (n int) {
	for _, c := range h.crashes {
		if c.young {
			n++
		}
	}
	return n
}

// addRetry adds a retry, or how it ended.
func (h *history) addRetry(holder uint64, r retry) {
	if known, ok := h.retries[holder]; ok {
		r = retry{earlier(known.at, r.at), max(known.end, r.end)}
	}
	if h.retries == nil {
		h.retries = map[uint64]retry{}
	}
	h.retries[holder] = r
	trim(h.retries, maxKeptRetries)
}

// trim drops the highest key of a set that has too many, so that all hosts keep the same ones.
func trim[K ~uint64, V any](set map[K]V, most int) {
	if len(set) <= most {
		return
	}
	var highest K
	for k := range set {
		highest = max(highest, k)
	}
	delete(set, highest)
}

// merge adds what another record of the same epoch knows.
func (h *history) merge(other history) {
	for p, c := range other.crashes {
		h.addCrash(p, c)
	}
	for holder, r := range other.retries {
		h.addRetry(holder, r)
	}
}

// contains reports whether nothing in other is new.
func (h *history) contains(other history) bool {
	for p, c := range other.crashes {
		if known, ok := h.crashes[p]; !ok || c.young && !known.young {
			return false
		}
	}
	for holder, r := range other.retries {
		if known, ok := h.retries[holder]; !ok || r.end > known.end {
			return false
		}
	}
	return true
}

// rows returns the history in the form sent to other hosts, in a stable order.
func (h *history) rows(now time.Time) (crashes []ProcessCrash, retries []RetryRow) {
	for p, c := range h.crashes {
		crashes = append(crashes, ProcessCrash{p, max(0, now.Sub(c.at).Milliseconds()), c.young, c.endpoint})
	}
	slices.SortFunc(crashes, func(a, b ProcessCrash) int { return cmp.Compare(a.Process, b.Process) })
	for holder, r := range h.retries {
		retries = append(retries, RetryRow{holder, max(0, now.Sub(r.at).Milliseconds()), r.end})
	}
	slices.SortFunc(retries, func(a, b RetryRow) int { return cmp.Compare(a.Holder, b.Holder) })
	return crashes, retries
}

// sweep drops the retries that told nothing and have been kept long enough.
func (h *history) sweep(now time.Time) {
	for holder, r := range h.retries {
		if r.end == RetryInconclusive && now.Sub(r.at) >= inconclusiveTTL {
			delete(h.retries, holder)
		}
	}
}

// appendTo appends the history without its times, in a stable order.
func (h *history) appendTo(src []byte) []byte {
	crashes, retries := h.rows(time.Time{})
	for _, c := range crashes {
		src = binary.LittleEndian.AppendUint64(src, uint64(c.Process))
		if c.Young {
			src = append(src, 1)
		}
	}
	for _, r := range retries {
		src = binary.LittleEndian.AppendUint64(src, r.Holder)
		src = append(src, byte(r.End))
	}
	return src
}

// history returns what a row says.
func (row *Row) history(now time.Time) (h history) {
	at := func(ageMillis int64) time.Time { return now.Add(-time.Duration(max(0, ageMillis)) * time.Millisecond) }
	for _, c := range row.Crashes {
		h.addCrash(c.Process, pastCrash{at(c.AgeMillis), c.Young, c.Endpoint})
	}
	for _, r := range row.Retries {
		h.addRetry(r.Holder, retry{at(r.AgeMillis), r.End})
	}
	h.sweep(now)
	return h
}

// summary is what speaks against a request in all stages, without the crashes that are attributed to something else.
type summary struct {
	moments   int // crashes under runs that didn't begin with the same knowledge
	processes int // that crashed while it ran there, or may have
	beside    bool
	retries   int       // sent after the third crash
	failed    int       // of these, which speak against it
	lastRetry time.Time // zero: none
	pending   bool      // nothing is known of the end of the last retry
	last      time.Time // of the crashes
	// firstRetry and lastOwn are the times of the first retry, and of the last crash that isn't attributed to something
	// else; zero: none.
	firstRetry, lastOwn time.Time
}

// summarize returns what speaks against a request. The caller holds the lock.
func (r *Registry) summarize(f request.Fingerprint) (s summary) {
	for stage := range stages {
		c := r.records[recordKey{f, stage}]
		if c == nil || c.mark.isClear() {
			continue
		}
		attributed, lastOwn := r.attributedCrashes(f, &c.history)
		own := len(c.history.crashes) - attributed
		moments := int(c.mark.Ends)
		if attributed > 0 {
			moments = max(0, min(own, moments-attributed+1)) // the first crash that another request explained didn't raise it
		}
		s.beside = s.beside || c.mark.Beside || attributed > 0
		s.moments += moments
		s.processes += max(moments, own)
		s.last, s.lastOwn = later(s.last, c.at), later(s.lastOwn, lastOwn)
	}
	for stage := range stages {
		if c := r.records[recordKey{f, stage}]; c != nil && !c.mark.isClear() {
			s.addRetries(&c.history)
		}
	}
	return s
}

// addRetries adds the retries of a history. The crashes are known by then.
func (s *summary) addRetries(h *history) {
	for _, retry := range h.retries {
		if retry.end == RetryUnsent {
			continue
		}
		if s.retries++; s.firstRetry.IsZero() || retry.at.Before(s.firstRetry) {
			s.firstRetry = retry.at
		}
		if s.isFailed(retry) {
			s.failed++
		}
		if retry.at.After(s.lastRetry) {
			s.lastRetry, s.pending = retry.at, retry.end == RetryPending
		}
	}
}

// crashTimeError bounds the difference between times that hosts tell each other as ages.
const crashTimeError = time.Second

// isFailed reports whether a retry speaks against the request. One whose endpoint crashed doesn't if that crash is attributed
// to something else.
func (s *summary) isFailed(r retry) bool {
	switch r.end {
	case RetryInconclusive:
		return false
	case RetryCrashed:
		return s.lastOwn.After(r.at.Add(-crashTimeError))
	}
	return true
}

// CountedProcesses returns how many crashed processes count against a request: those that aren't attributed to something else.
func (r *Registry) CountedProcesses(f request.Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summarize(f)
	return s.processes
}

// isLimited reports whether the request may only be sent as one of a few retries: three processes crashed under it, or one
// since its first retry, which ran beside no other suspect.
func (s *summary) isLimited() bool {
	retryFailed := s.retries > 0 && s.lastOwn.After(s.firstRetry)
	return s.moments >= blameAt || s.processes >= blameAt || retryFailed
}

// isRetrying reports whether a retry may still be in progress. Processes that crash meanwhile under runs which began earlier say
// nothing of it.
func (s *summary) isRetrying(now time.Time) bool {
	return s.pending && now.Sub(s.lastRetry) < maxProbeTime
}

// failedRetries returns how many retries were used up, beside a number of other crashes.
func (s *summary) failedRetries(others int) int {
	if others < otherCauses {
		return max(s.failed, s.moments-blameAt) // crashes since it was blamed
	}
	return s.failed
}

// nextRetry returns when the next retry is due, beside a number of other crashes and with the latest crash of all at a time;
// no further one is due if !more.
func (s *summary) nextRetry(others int, latest time.Time) (due time.Time, more bool) {
	failed := s.failedRetries(others)
	from := later(s.last, s.lastRetry)
	switch {
	case max(s.retries, failed) >= maxRetries:
		return time.Time{}, false
	case failed > 0:
		return from.Add(scaled(firstRetry, retryGrowth, failed)), true
	case others >= otherCauses:
		return quietTime(from, latest, otherWindow), true
	case s.moments < blameAt:
		return quietTime(from, latest, clearableFor), true
	}
	return from.Add(firstRetry), true
}

// quietTime returns when the first retry after a last crash is due: once nothing else has crashed for a time, as another
// crash would make the retry worthless, but within firstRetry.
func quietTime(last, latest time.Time, quietFor time.Duration) time.Time {
	return later(last.Add(firstBackoff), earlier(last.Add(firstRetry), latest.Add(quietFor)))
}
