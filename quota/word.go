package quota

import "time"

// When a holder tells the others of its account. Calm teams cost one message a second
// and domain; one at its limit some three, so that what two others have not heard of
// yet comes to at most a fifth of a second of its rate.
const (
	tellEvery = time.Second
	tellPart  = 0.1 // of a second of the rate, let in since the last word
	// tellPace is the least change of a pace that is told of though nothing was let
	// in since, as part of the rate.
	tellPace = 0.02
)

// Due reports whether the others should be told of the account now.
func (a *Account) Due(now time.Time) bool {
	if a.toldAt.IsZero() {
		return true
	}
	untold := a.used - a.told.Used
	if untold < 0 {
		untold = -untold
	}
	if untold >= tellPart*a.limit.Rate {
		return true
	}
	slower := a.told.Pace - a.letIn.at(now)
	return now.Sub(a.toldAt) >= tellEvery && (untold > 0 || slower > tellPace*a.limit.Rate)
}

// Tell returns what is told of the account.
func (a *Account) Tell(now time.Time) Word {
	return Word{Holder: a.id, Used: a.used, Pace: a.letIn.at(now), Asked: a.asked.at(now)}
}

// Told notes that the others have been told of the account.
func (a *Account) Told(now time.Time, w Word) { a.told, a.toldAt = w, now }

// Hear takes in what the holder of another failure domain tells of its account.
func (a *Account) Hear(now time.Time, domain string, w Word, r Reach) {
	a.advance(now, r)
	o := a.others[domain]
	if o == nil {
		o = new(other)
		a.others[domain] = o
	}
	// Of another account than before nothing is known from when on it counts; what
	// was assumed stays.
	if o.word.Holder == w.Holder {
		unforeseen := w.Used - o.word.Used - o.assumed
		a.level = max(min(a.level-unforeseen, a.most(r)), min(a.level, -mostDebt*a.limit.Rate))
	}
	o.word, o.missed, o.assumed = w, false, 0
}

// hearsNone reports whether no other failure domain's holder is in reach, though some
// were.
func (a *Account) hearsNone() bool {
	for _, o := range a.others {
		if !o.missed {
			return false
		}
	}
	return len(a.others) > 0
}

// Miss notes that the holder of another failure domain didn't answer. From the first
// call on that fails each side of a cut keeps to its part: where a cut came with six
// times the usual load and the holder was given another 1.5 s, 1.08 of what a limit
// allows in eight seconds was let in.
func (a *Account) Miss(now time.Time, domain string, r Reach) {
	a.advance(now, r)
	o := a.others[domain]
	if o == nil || o.missed {
		return
	}
	o.missed = true
	o.part = 1 / float64(len(r.Domains)+1)
	if sum := a.askedWhenTold(); sum > 0 {
		o.part = o.word.Asked / sum
	}
}
