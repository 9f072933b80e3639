package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// maxPartRows is how many crashes are sent at once.
const maxPartRows = 128

// PartCrash is a crash of a process under a run that had just begun, with the parts of its prompt.
type PartCrash struct {
	Process  Process // also by the endpoint's name, as one without start times has a new name after each start
	Start    Process // as ProcessOf names it
	Request  request.Fingerprint
	Parts    []PartState
	Team     uint32
	Endpoint string
	Host     string // that observed the crash
	// AgeMillis is the time since the crash.
	AgeMillis int64
}

// PartState is what a host knows of a part.
type PartState struct {
	Part request.Fingerprint
	Name string // as its caller names it
	// SoundMillis is the time since an engine last began to write on it and went on; below 0: not known.
	SoundMillis int64
}

// PartNews is what hosts send each other of parts.
type PartNews struct {
	Crashes []PartCrash
	Sound   []PartState
}

// IsEmpty reports whether there is nothing to send.
func (n *PartNews) IsEmpty() bool { return len(n.Crashes)+len(n.Sound) == 0 }

// has reports whether the prompt of the run had a part.
func (c *partCrash) has(part request.Fingerprint) bool {
	return slices.ContainsFunc(c.Parts, func(s PartState) bool { return s.Part == part })
}

// Apply applies what another host sent. It returns what this host knows better: parts that it has seen
// written on since the crashes that the other one reports.
func (p *Parts) Apply(news PartNews, now time.Time) (answer PartNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range news.Sound {
		p.sound.addMillis(s, now)
	}
	for _, c := range news.Crashes {
		if len(c.Parts) > MaxParts || c.Request.IsZero() {
			continue // from a later version
		}
		p.add(c, now)
		for _, s := range c.Parts {
			if len(p.counted(s.Part)) == 0 && p.sound.millisSince(s.Part, now) >= 0 {
				answer.Sound = append(answer.Sound, PartState{Part: s.Part, Name: s.Name, SoundMillis: p.sound.millisSince(s.Part, now)})
			}
		}
	}
	p.attributeCrashes()
	return answer
}

// News returns what is known, the latest first, for a host that knows something else.
func (p *Parts) News(now time.Time) (news PartNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*partCrash, 0, len(p.crashes))
	for _, c := range p.crashes {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *partCrash) int { return b.at.Compare(a.at) })
	for _, c := range all[:min(len(all), maxPartRows)] {
		news.Crashes = append(news.Crashes, p.row(c, now))
	}
	return news
}

// NewsOf returns what is known of a part or a request, for the host that grants its probes.
func (p *Parts) NewsOf(f request.Fingerprint, now time.Time) (news PartNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newsOf(f, now)
}

// newsOf is like NewsOf. The caller holds the lock.
func (p *Parts) newsOf(f request.Fingerprint, now time.Time) (news PartNews) {
	for _, c := range p.crashes {
		if len(news.Crashes) < maxPartRows && (c.Request == f || c.has(f)) {
			news.Crashes = append(news.Crashes, p.row(c, now))
		}
	}
	return news
}

// row returns a crash in the form sent to other hosts. The caller holds the lock.
func (p *Parts) row(c *partCrash, now time.Time) PartCrash {
	out := c.PartCrash
	out.AgeMillis = max(0, now.Sub(c.at).Milliseconds())
	out.Parts = slices.Clone(c.Parts)
	for i := range out.Parts {
		out.Parts[i].SoundMillis = p.sound.millisSince(out.Parts[i].Part, now)
	}
	return out
}

// Hash returns a hash of the crashes and of the parts that are cleared, which is equal on hosts that know
// the same; 0: nothing is known.
func (p *Parts) Hash() (sum uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.crashes {
		sum ^= xxhash.Sum64(binary.LittleEndian.AppendUint64(slices.Clone(k.request[:]), uint64(k.process)))
	}
	for part := range p.byPart {
		if len(p.counted(part)) == 0 {
			sum ^= xxhash.Sum64(part[:])
		}
	}
	return sum
}
