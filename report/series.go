package report

import (
	"time"
)

// Resolution and length of the counted windows.
const (
	bucketSize = time.Minute
	buckets    = 360
)

// series counts the requests of one team or model over time.
type series struct {
	minutes [buckets]int64 // minute of each bucket, since 1970
	total   [buckets]uint32
	bad     [buckets]uint32
}

func (s *series) add(now time.Time, bad bool) {
	m := now.Unix() / 60
	i := m % buckets
	if s.minutes[i] != m {
		s.minutes[i], s.total[i], s.bad[i] = m, 0, 0
	}
	s.total[i]++
	if bad {
		s.bad[i]++
	}
}

func (s *series) sum(now time.Time, window time.Duration) (total, bad uint64) {
	m := now.Unix() / 60
	for k := range int64(window / bucketSize) {
		i := (m - k) % buckets
		if s.minutes[i] == m-k {
			total += uint64(s.total[i])
			bad += uint64(s.bad[i])
		}
	}
	return total, bad
}

func (s *Totals) add(o Outcome, v Verdict) {
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
