package route

import "time"

// coldReportTTL is how long an owner's report that an endpoint is cold is used. The owner
// repeats it in each reply, and an endpoint stays cold for some seconds.
const coldReportTTL = 2 * time.Second

// IsCold reports whether an endpoint is or may be cold, and so takes few requests: by its
// registration, by its owner's report, or because its failure domain has just come back.
func (s *State) IsCold(now time.Time) bool {
	if s.Spec == nil || s.Spec.ColdPerSecond <= 0 {
		return false
	}
	return now.Before(s.ColdUntil) || now.Before(s.MaybeColdUntil) ||
		s.Digest.Flags&FlagCold != 0 && now.Sub(s.DigestAt) < coldReportTTL
}

// ColdRemaining returns how much longer an endpoint is or may be cold, as far as known.
func (s *State) ColdRemaining(now time.Time) time.Duration {
	if !s.IsCold(now) {
		return 0
	}
	return max(time.Millisecond, s.ColdUntil.Sub(now), s.MaybeColdUntil.Sub(now))
}

// IsLimited reports whether an endpoint has just named a request limit. It then takes only what
// the others have no capacity for; later requests show whether the limit still holds.
func (s *State) IsLimited(now time.Time) bool { return now.Before(s.LimitedUntil) }

// AssumeCold treats an endpoint as cold for the length of a cold start from now. Its failure
// domain was evacuated or cut off, and its own report is up to a heartbeat late.
func (s *State) AssumeCold(now time.Time) {
	s.MaybeColdUntil = now.Add(time.Duration(s.Spec.ColdStartMillis) * time.Millisecond)
}
