package quarantine

import "time"

// Grant decides on a request for a probe of a part. One request with it runs at a time, beside no other
// suspect.
func (p *Parts) Grant(a Ask, now time.Time) Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes.sweep(now)
	reply := Reply{Verdict: p.judge(a.Request, now).verdict}
	switch {
	case reply.Verdict == Suspect, a.Partly && reply.Verdict != Free:
		reply.Verdict = Suspect
		reply.Granted, reply.Elsewhere = p.probes.grant(a, true, now)
	}
	reply.KnownOfPart = p.newsOf(a.Request, now)
	return reply
}

// SettleProbe records that the run of a probe has settled.
func (p *Parts) SettleProbe(holder uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes.settle(holder, now)
}

// EndProbe ends a probe.
func (p *Parts) EndProbe(holder uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probes.byHolder, holder)
}
