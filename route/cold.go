package route

import "time"

// coldToldFor is how long an owner's word that an endpoint is cold holds: the owner tells
// of it in each answer, and an endpoint is cold for some seconds.
const coldToldFor = 2 * time.Second

// Cold reports whether an endpoint bears few requests now, or may: by what it says of
// itself, by its owner's word, or because its failure domain has just come back.
func (s *State) Cold(now time.Time) bool {
	if s.Spec == nil || s.Spec.ColdPerSecond <= 0 {
		return false
	}
	return now.Before(s.ColdUntil) || now.Before(s.MaybeCold) ||
		s.Digest.Flags&FlagCold != 0 && now.Sub(s.At) < coldToldFor
}

// ColdFor returns for how long an endpoint is or may be cold still, as far as this is known.
func (s *State) ColdFor(now time.Time) time.Duration {
	if !s.Cold(now) {
		return 0
	}
	return max(time.Millisecond, s.ColdUntil.Sub(now), s.MaybeCold.Sub(now))
}

// Limited reports whether an endpoint has just named a limit: it takes what others have no room
// for, and a request may find out later whether the limit still holds.
func (s *State) Limited(now time.Time) bool { return now.Before(s.LimitedUntil) }

// Suspect takes an endpoint for cold for as long as a start leaves it so, from now on: its
// failure domain was emptied or cut off, and word of it is up to a heartbeat late.
func (s *State) Suspect(now time.Time) {
	s.MaybeCold = now.Add(time.Duration(s.Spec.ColdStartMillis) * time.Millisecond)
}
