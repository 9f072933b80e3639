package quarantine

import (
	"slices"
	"time"

	"github.com/embercove/embercove/request"
)

// Thresholds and times of verdicts on parts.
const (
	// blameMoments is how many moments, at least sameMoment apart, the crashes have to be at until a part is blamed:
	// engines also crash together for other reasons.
	blameMoments = 2
	sameMoment   = 250 * time.Millisecond
	// suspectRequests is how many different requests have to crash engines until their part is suspected.
	suspectRequests = 2
	// blameRequests is how many different requests have to do so until it is blamed.
	blameRequests = 3
	// blameCrashes is how many crashes do so as well, with maxPerRequest counted of each request.
	blameCrashes  = 4
	maxPerRequest = 2
	// settleBlame is the time after a part is blamed in which runs that began before may still crash engines.
	settleBlame = 5 * time.Second
)

// PartVerdict says what a request may do because of the parts of its prompt.
type PartVerdict struct {
	Verdict Verdict
	Backoff time.Duration
	Part    Part // for which
	Partly  bool // the prompt lacks some of the parts that can't be told apart from it
}

// judgement is what is known of a part.
type judgement struct {
	verdict  Verdict
	backoff  time.Duration
	crashes  int                   // of different processes, that count against it
	requests int                   // different ones
	with     []request.Fingerprint // parts that were there each time as well and can't be told apart from it
	last     time.Time             // of the last crash
}

// Evaluate returns what a request with these parts may do now.
func (p *Parts) Evaluate(parts []Part, now time.Time) (v PartVerdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) == 0 {
		return PartVerdict{}
	}
	for _, part := range parts {
		if len(p.byPart[part.Key]) == 0 {
			continue
		}
		j := p.judge(part.Key, now)
		verdict := j.verdict
		partly := verdict != Free && !j.hasAll(parts)
		if partly {
			verdict = j.withoutSome()
		}
		if verdict > v.Verdict {
			v = PartVerdict{verdict, j.backoff, part, partly}
		}
	}
	return v
}

// hasAll reports whether a prompt has all parts that can't be told apart.
func (j *judgement) hasAll(parts []Part) bool {
	for _, key := range j.with {
		if !slices.ContainsFunc(parts, func(part Part) bool { return part.Key == key }) {
			return false
		}
	}
	return true
}

// withoutSome returns the verdict on a request that lacks some of the parts that can't be told apart: it
// runs freely, and shows which part is sound, until they are blamed; then as a probe.
func (j *judgement) withoutSome() Verdict {
	if j.verdict == Suspect {
		return Free
	}
	return Suspect
}

// counted returns the crashes that count against a part, the earliest first. The caller holds the lock.
func (p *Parts) counted(part request.Fingerprint) (out []*partCrash) {
	sound := p.sound.at(part)
	for _, c := range p.byPart[part] {
		if c.at.After(sound) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *partCrash) int { return a.at.Compare(b.at) })
	return out
}

// judge returns what is known of a part. The caller holds the lock.
func (p *Parts) judge(part request.Fingerprint, now time.Time) (j judgement) {
	counted := slices.DeleteFunc(p.counted(part), func(c *partCrash) bool { return p.isExplained(part, c, now) })
	if len(counted) == 0 {
		return j
	}
	j.last = counted[len(counted)-1].at
	blamedAt := j.count(counted)
	if j.requests < suspectRequests {
		return j
	}
	j.verdict, j.with = Suspect, p.inseparable(part, counted)
	if blamedAt.IsZero() {
		return j
	}
	probes := 0 // that crashed an engine after the part was blamed
	for _, c := range counted {
		if c.at.Sub(blamedAt) >= settleBlame {
			probes++
		}
	}
	others, latest := p.otherCrashes(counted, now)
	due := j.last.Add(scaled(firstRetry, retryGrowth, probes))
	if probes == 0 && others >= otherCauses {
		due = quietTime(j.last, latest, otherWindow)
	}
	switch j.backoff = due.Sub(now); {
	case probes >= maxRetries:
		j.verdict, j.backoff = Blamed, 0
	case j.backoff <= 0:
	case others >= otherCauses:
		j.verdict = BackingOff
	default:
		j.verdict, j.backoff = Blamed, 0
	}
	return j
}

// count counts the processes that crashed and the requests under which they did. It returns when these were
// enough to blame the part; zero: they aren't.
func (j *judgement) count(counted []*partCrash) (blamedAt time.Time) {
	perRequest := map[request.Fingerprint]int{}
	var moment time.Time
	score, moments := 0, 0
	for _, same := range byProcess(counted) {
		at, of := same[0].at, same[0].Request
		for _, c := range same[1:] {
			if perRequest[c.Request] < perRequest[of] {
				of = c.Request
			}
		}
		if at.Sub(moment) >= sameMoment {
			moment = at
			moments++
		}
		j.crashes++
		perRequest[of]++
		if perRequest[of] <= maxPerRequest {
			score++
		}
		if blamedAt.IsZero() && moments >= blameMoments && (len(perRequest) >= blameRequests || score >= blameCrashes) {
			blamedAt = at
		}
	}
	j.requests = len(perRequest)
	return blamedAt
}

// byProcess groups crashes, the earliest first, by the process that crashed.
func byProcess(counted []*partCrash) (groups [][]*partCrash) {
	index := map[Process]int{}
	for _, c := range counted {
		i, known := index[c.Process]
		if !known {
			i = len(groups)
			index[c.Process], groups = i, append(groups, nil)
		}
		groups[i] = append(groups[i], c)
	}
	return groups
}

// isExplained reports whether a crash has a more suspicious cause than a part: another part that crashes engines in
// different requests and was written on without a crash less recently, in the same prompt or another one, or another
// request that is blamed as a whole. The caller holds the lock.
func (p *Parts) isExplained(part request.Fingerprint, crash *partCrash, now time.Time) bool {
	sound := p.sound.at(part)
	for _, c := range p.byProcess[crash.Process] {
		for _, s := range c.Parts {
			if s.Part != part && p.sound.at(s.Part).Before(sound) && p.requestsOf(s.Part) >= suspectRequests {
				return true
			}
		}
	}
	return p.requests != nil && p.requests.causedByOther(crash.Start, crash.Request, now)
}

// requestsOf returns under how many different requests the crashes were that may count against a part. The caller
// holds the lock.
func (p *Parts) requestsOf(part request.Fingerprint) int {
	sound := p.sound.at(part)
	var different []request.Fingerprint
	for _, c := range p.byPart[part] {
		if c.at.After(sound) && !slices.Contains(different, c.Request) {
			different = append(different, c.Request)
		}
		if len(different) == blameRequests {
			break // more make no difference
		}
	}
	return len(different)
}

// inseparable returns the other parts on which some run had begun to write at each of some crashes, and that were
// written on without a crash no less and no more recently than a part. The caller holds the lock.
func (p *Parts) inseparable(part request.Fingerprint, counted []*partCrash) (with []request.Fingerprint) {
	sound := p.sound.at(part)
	for _, first := range p.byProcess[counted[0].Process] {
		for _, s := range first.Parts {
			if s.Part != part && p.sound.at(s.Part).Equal(sound) && !slices.Contains(with, s.Part) && p.presentAtAll(s.Part, counted) {
				with = append(with, s.Part)
			}
		}
	}
	return with
}

// presentAtAll reports whether some run had begun to write on a part at each of some crashes. The caller holds the
// lock.
func (p *Parts) presentAtAll(part request.Fingerprint, crashes []*partCrash) bool {
	for _, crash := range crashes {
		if !slices.ContainsFunc(p.byProcess[crash.Process], func(c *partCrash) bool { return c.has(part) }) {
			return false
		}
	}
	return true
}

// otherCrashes returns how many processes crashed around the time of the last of some crashes under other
// runs than those, and when the latest of these did. Crashes whose cause is known don't count. The caller holds the
// lock.
func (p *Parts) otherCrashes(counted []*partCrash, now time.Time) (n int, latest time.Time) {
	last := counted[len(counted)-1].at
	own, others := map[Process]bool{}, map[Process]bool{}
	for _, c := range counted {
		own[c.Process] = true
	}
	for _, c := range p.crashes {
		if !own[c.Process] && !others[c.Process] && last.Sub(c.at).Abs() < otherWindow && !p.isCauseKnown(c, now) {
			others[c.Process] = true
			latest = later(latest, c.at)
		}
	}
	return len(others), latest
}

// isCauseKnown reports whether a request that is blamed as a whole, or a part that crashes engines in enough requests to
// be blamed, was there at a crash. The caller holds the lock.
func (p *Parts) isCauseKnown(crash *partCrash, now time.Time) bool {
	enough := func(s PartState) bool { return p.requestsOf(s.Part) >= blameRequests }
	for _, c := range p.byProcess[crash.Process] {
		if slices.ContainsFunc(c.Parts, enough) {
			return true
		}
	}
	return p.requests != nil && p.requests.causedByOther(crash.Start, request.Fingerprint{}, now)
}
