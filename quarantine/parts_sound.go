package quarantine

import (
	"time"

	"github.com/embercove/embercove/request"
)

// maxSoundParts is how many parts are remembered as sound, once to twice as many.
const maxSoundParts = 4096

// soundParts remembers when engines last began to write on parts and went on. It forgets those that
// weren't added again while maxSoundParts others were.
type soundParts struct {
	latest, before map[request.Fingerprint]time.Time
}

func newSoundParts() soundParts {
	return soundParts{map[request.Fingerprint]time.Time{}, map[request.Fingerprint]time.Time{}}
}

// at returns when an engine last began to write on a part and went on; zero: not known.
func (s *soundParts) at(part request.Fingerprint) time.Time {
	if at, ok := s.latest[part]; ok {
		return at
	}
	return s.before[part]
}

// add records that an engine began to write on a part at a time, and went on.
func (s *soundParts) add(part request.Fingerprint, began, now time.Time) {
	if began.After(now) {
		began = now
	}
	if !s.at(part).Before(began) {
		return
	}
	if len(s.latest) >= maxSoundParts {
		s.before, s.latest = s.latest, map[request.Fingerprint]time.Time{}
	}
	s.latest[part] = began
}

// addMillis adds what another host knows of a part.
func (s *soundParts) addMillis(p PartState, now time.Time) {
	if p.SoundMillis >= 0 {
		s.add(p.Part, now.Add(-time.Duration(p.SoundMillis)*time.Millisecond), now)
	}
}

// millisSince returns the time since an engine last began to write on a part and went on, in ms; -1: not
// known.
func (s *soundParts) millisSince(part request.Fingerprint, now time.Time) int64 {
	at := s.at(part)
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at).Milliseconds())
}
