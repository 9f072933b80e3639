package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// A part of a prompt may crash each engine that begins to write on it, in requests of which no two are
// alike. Parts finds such parts. It knows the crashes under runs that had just begun, each with the parts
// of their prompts, and when each of these parts was last written on without a crash.
//
//   - Crashes count against a part since an engine last began to write on it and went on. So a part that
//     sound requests share is cleared soon after each crash, and one that was sound may become deadly.
//   - Crashes at a single moment only make it suspect, as engines also crash together for other reasons.
//   - Requests have to differ: repeats of one request speak against that request and not its parts.
//   - A crash doesn't count if a more suspicious cause was there: a part that crashes engines in different requests
//     and has been unsound for longer, or another request that is blamed as a whole.
//   - Parts that were there together each time and can't be told apart are refused only together.
//     A request with some of them runs as a probe, which tells.

// Bounds of a prompt's parts and of the crashes that are kept.
const (
	// MaxParts is how many parts of a prompt are looked at, the first ones.
	MaxParts = 32
	// maxPartCrashes is how many crashes are kept, 2 MB at most. Beyond that the oldest of the team with the
	// most goes first.
	maxPartCrashes = 1024
)

// Part is a part of a prompt.
type Part struct {
	Key  request.Fingerprint
	Name string
}

// partCrash is a crash that is kept.
type partCrash struct {
	PartCrash
	at time.Time
}

// crashKey identifies a crash under a run.
type crashKey struct {
	process Process
	request request.Fingerprint
}

// Parts holds what one host knows of parts.
type Parts struct {
	host     string
	requests *Registry // what is known of whole requests

	mu        sync.Mutex // taken before that of requests
	crashes   map[crashKey]*partCrash
	byPart    map[request.Fingerprint][]*partCrash
	byProcess map[Process][]*partCrash
	sound     soundParts
	probes    probes
	refused   uint64
}

// NewParts returns an empty one for the named host, beside what is known of whole requests.
func NewParts(host string, requests *Registry) *Parts {
	return &Parts{host: host, requests: requests, crashes: map[crashKey]*partCrash{}, byPart: map[request.Fingerprint][]*partCrash{},
		byProcess: map[Process][]*partCrash{}, sound: newSoundParts(), probes: newProbes()}
}

// Empty reports whether no crash is known.
func (p *Parts) Empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes) == 0
}

// RecordCrash records that a process crashed under a run that had just begun to write on its parts. It
// returns what to send to all hosts.
func (p *Parts) RecordCrash(run Run, process Process, endpoint string, now time.Time) PartNews {
	if len(run.Parts) == 0 || run.Stage != Running || run.Old {
		return PartNews{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := PartCrash{Process: process ^ Process(xxhash.Sum64String(endpoint)), Start: process, Request: run.Request, Team: run.Team, Endpoint: endpoint, Host: p.host}
	for _, part := range run.Parts {
		c.Parts = append(c.Parts, PartState{Part: part.Key, Name: part.Name, SoundMillis: p.sound.millisSince(part.Key, now)})
	}
	p.add(c, now)
	p.attributeCrashes()
	return PartNews{Crashes: []PartCrash{c}}
}

// add adds a crash. The caller holds the lock.
func (p *Parts) add(c PartCrash, now time.Time) {
	k := crashKey{c.Process, c.Request}
	at := now.Add(-time.Duration(max(0, c.AgeMillis)) * time.Millisecond)
	for _, s := range c.Parts {
		p.sound.addMillis(s, now)
	}
	if known := p.crashes[k]; known != nil {
		known.at = earlier(known.at, at) // so that it is the same on all hosts
		return
	}
	if now.Sub(at) >= blamedTTL {
		return
	}
	if len(p.crashes) >= maxPartCrashes {
		p.evictFor(c.Team)
	}
	kept := &partCrash{c, at}
	p.crashes[k] = kept
	p.byProcess[c.Process] = append(p.byProcess[c.Process], kept)
	for _, s := range c.Parts {
		p.byPart[s.Part] = append(p.byPart[s.Part], kept)
	}
}

// evictFor drops the oldest crash of the team with the most, counting one more of a given team. The
// caller holds the lock.
func (p *Parts) evictFor(team uint32) {
	perTeam := map[uint32]int{team: 1}
	for _, c := range p.crashes {
		perTeam[c.Team]++
	}
	largest := team
	for t, n := range perTeam {
		if n > perTeam[largest] || n == perTeam[largest] && t < largest {
			largest = t
		}
	}
	var oldest *partCrash
	for _, c := range p.crashes {
		if c.Team == largest && (oldest == nil || c.at.Before(oldest.at)) {
			oldest = c
		}
	}
	if oldest != nil {
		p.drop(oldest)
	}
}

// drop drops a crash. The caller holds the lock.
func (p *Parts) drop(c *partCrash) {
	delete(p.crashes, crashKey{c.Process, c.Request})
	removeCrash(p.byProcess, c.Process, c)
	for _, s := range c.Parts {
		removeCrash(p.byPart, s.Part, c)
	}
}

// removeCrash removes a crash from an index.
func removeCrash[K comparable](index map[K][]*partCrash, k K, c *partCrash) {
	left := slices.DeleteFunc(slices.Clone(index[k]), func(o *partCrash) bool { return o == c })
	if index[k] = left; len(left) == 0 {
		delete(index, k)
	}
}

// RecordSound records that an engine began to write on parts at a time, and went on. It returns what to
// send to all hosts: nothing unless that clears a part.
func (p *Parts) RecordSound(parts []Part, began, now time.Time) (news PartNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		counted := len(p.counted(part.Key)) > 0
		p.sound.add(part.Key, began, now)
		if counted && len(p.counted(part.Key)) == 0 {
			news.Sound = append(news.Sound, PartState{Part: part.Key, Name: part.Name, SoundMillis: max(0, now.Sub(began).Milliseconds())})
		}
	}
	if !news.IsEmpty() {
		p.attributeCrashes()
	}
	return news
}

// Clear clears a part on an operator's order, and returns what to send to all hosts. It clears the other parts that
// were there at its crashes as well, or these would be blamed for them next.
func (p *Parts) Clear(part request.Fingerprint, now time.Time) (news PartNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted := p.counted(part)
	if len(counted) == 0 {
		return news
	}
	for _, crash := range counted {
		for _, c := range p.byProcess[crash.Process] {
			for _, s := range c.Parts {
				if p.sound.at(s.Part).Before(now) {
					p.sound.add(s.Part, now, now)
					news.Sound = append(news.Sound, PartState{Part: s.Part, Name: s.Name, SoundMillis: 0})
				}
			}
		}
	}
	p.attributeCrashes()
	return news
}

// Sweep drops what has been kept long enough.
func (p *Parts) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.crashes {
		if now.Sub(c.at) >= p.keptFor(c, now) {
			p.drop(c)
		}
	}
	p.attributeCrashes()
	p.probes.sweep(now)
}

// keptFor returns how long a crash is kept. The caller holds the lock.
func (p *Parts) keptFor(c *partCrash, now time.Time) time.Duration {
	for _, s := range c.Parts {
		if p.judge(s.Part, now).verdict >= BackingOff {
			return blamedTTL
		}
	}
	return suspectTTL
}

// Len returns the number of crashes that are known.
func (p *Parts) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes)
}

// CountRefused counts a request that is refused for a part.
func (p *Parts) CountRefused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused++
}

// Refused returns how many requests were refused for a part.
func (p *Parts) Refused() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}
