package report

import (
	"time"
)

// bucketSize and buckets are the grain and the reach of the windows.
const (
	bucketSize = time.Minute
	buckets    = 360
)

// series counts one team or model over time.
type series struct {
	minute [buckets]int64 // since 1970; says whose minute a bucket holds
	total  [buckets]uint32
	bad    [buckets]uint32
}

func (s *series) add(now time.Time, bad bool) {
	m := now.Unix() / 60
	i := m % buckets
	if s.minute[i] != m {
		s.minute[i], s.total[i], s.bad[i] = m, 0, 0
	}
	s.total[i]++
	if bad {
		s.bad[i]++
	}
}

func (s *series) sum(now time.Time, span time.Duration) (total, bad uint64) {
	m := now.Unix() / 60
	for k := range int64(span / bucketSize) {
		i := (m - k) % buckets
		if s.minute[i] == m-k {
			total += uint64(s.total[i])
			bad += uint64(s.bad[i])
		}
	}
	return total, bad
}

func (s *Sum) add(o Outcome, v Verdict) {
	s.Requests++
	s.Codes[o.Code]++
	s.Prefilled += uint64(o.Prefilled)
	s.Wasted += uint64(o.Wasted)
	s.Tokens += uint64(o.Tokens)
	s.Tries += uint64(o.Tries)
	s.Attempts += uint64(o.Attempts)
	switch v {
	case Good:
		s.Good++
	case Late:
		s.Late++
	case Bad:
		s.Bad++
	default:
		s.Excluded++
	}
}
