package quarantine

import (
	"strconv"
	"strings"
	"time"

	"github.com/embercove/embercove/request"
)

// Account is what a verdict on a request rests on, for logs.
type Account struct {
	Crashes    []AccountedCrash
	Moments    int           // crashes that count, those at one moment as one
	Retries    int           // after the third crash
	SinceLast  time.Duration // crash
	SinceRetry time.Duration // since the last one; 0: there was none
}

// AccountedCrash is the crash of a process while a request was in progress there.
type AccountedCrash struct {
	Process    Process
	Age        time.Duration
	Young      bool // the request had just begun there
	Attributed bool // to something else
}

// String returns the crash as "process@seconds" with one letter for each thing that is true of it.
func (c AccountedCrash) String() string {
	var b strings.Builder
	b.WriteString(strconv.FormatUint(uint64(c.Process), 36) + "@" + strconv.FormatFloat(c.Age.Seconds(), 'f', 2, 64))
	for _, flag := range []struct {
		letter byte
		set    bool
	}{{'y', c.Young}, {'a', c.Attributed}} {
		if flag.set {
			b.WriteByte(flag.letter)
		}
	}
	return b.String()
}

// Account returns what the verdict on a request rests on.
func (r *Registry) Account(f request.Fingerprint, now time.Time) Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, seen := r.summarize(f), r.presence(f)
	a := Account{Moments: s.moments, Retries: s.retries, SinceLast: now.Sub(s.last)}
	if !s.lastRetry.IsZero() {
		a.SinceRetry = now.Sub(s.lastRetry)
	}
	for stage := range stages {
		c := r.records[recordKey{f, stage}]
		if c == nil || c.mark.isClear() {
			continue
		}
		for p, crash := range c.history.crashes {
			a.Crashes = append(a.Crashes, AccountedCrash{Process: p, Age: now.Sub(crash.at), Young: crash.young, Attributed: r.isAttributed(p, crash, f, seen)})
		}
	}
	return a
}
