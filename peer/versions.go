package peer

import (
	"cmp"
	"context"
	"net/rpc"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/versions"
)

// Which software version began an answer is told to some hosts of each failure domain, chosen by the
// answer's fingerprint: a caller may take its answer up at any host, when the first one, its
// neighbors or a whole domain is out of reach. A host without the record asks them.

// VersionsArgs carries records of software versions.
type VersionsArgs struct{ Rows []versions.Record }

// VersionArgs asks which software version began an answer.
type VersionArgs struct{ Answer request.Fingerprint }

// VersionReply answers VersionArgs.
type VersionReply struct {
	Record versions.Record
	Known  bool
}

const (
	// maxRecorders is how many hosts of a failure domain hold versions. Together with those of the other domains
	// they stay within the connections that a host keeps open (maxKeptConns).
	maxRecorders = 16
	// recordersPerDomain is how many of them are told of an answer's version. In a failure domain with more hosts than
	// maxRecorders it is one: its recorders are told of many answers.
	recordersPerDomain = 2
	// askedPerDomain is how many hosts of a failure domain are asked: hosts that joined or left since may have
	// moved the ones that were told.
	askedPerDomain = recordersPerDomain + 1
	// maxRecordingDomains bounds the failure domains of a region that hold an answer's version.
	maxRecordingDomains = 3
	// versionTellTimeout bounds how long the first piece of an answer waits until another host knows its version.
	versionTellTimeout = 50 * time.Millisecond
	// versionAskTimeout bounds how long a host waits for others to say which version began an answer.
	versionAskTimeout = 150 * time.Millisecond
	// maxVersionRows is how many records a leaving host hands over to a host at once, some 60 bytes each.
	maxVersionRows = 512
	// recentVersions is the age up to which records are handed over by a leaving host, and asked for by one that
	// has started: answers that began before are mostly over.
	recentVersions = 30 * time.Second
	// versionTeachers is how many hosts a host that has started asks for recent records.
	versionTeachers = 2
)

// RecordVersion records which software version began an answer. It returns once another host knows it, or
// after versionTellTimeout; the others are told meanwhile.
func (r *Router) RecordVersion(ctx context.Context, rec versions.Record) {
	r.board.Versions.Add(rec, clock.Now())
	hosts, _ := r.versionHosts(rec.Answer, recordersPerDomain, r.inOwnRegion)
	if len(hosts) == 0 {
		return
	}
	known := make(chan struct{}, len(hosts))
	for _, h := range hosts {
		go func() {
			if r.tellVersions(h, []versions.Record{rec}) == nil {
				known <- struct{}{}
			}
		}()
	}
	timer := time.NewTimer(versionTellTimeout)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tellVersions sends records to a host.
func (r *Router) tellVersions(h blackboard.Host, rows []versions.Record) error {
	return r.pool.call(context.Background(), h.Peers, methodVersions, &VersionsArgs{rows}, &Nothing{}, r.timeout())
}

// Versions adds records of another host.
func (s *server) Versions(a *VersionsArgs, _ *Nothing) error {
	for _, row := range a.Rows {
		s.r.board.Versions.Add(row, clock.Now())
	}
	return nil
}

// FindVersion returns the record of an answer, from this host or another one, and the name of the host that
// had it. complete reports whether all hosts that may have it have answered.
func (r *Router) FindVersion(ctx context.Context, answer request.Fingerprint) (rec versions.Record, from string, complete bool) {
	if rec, ok := r.board.Versions.Find(answer, clock.Now()); ok {
		return rec, r.board.Settings.Host, true
	}
	hosts, complete := r.versionHosts(answer, askedPerDomain, func(string) bool { return true })
	limited, cancel := context.WithTimeout(ctx, versionAskTimeout)
	defer cancel()
	type result struct {
		host  blackboard.Host
		reply VersionReply
		err   error
	}
	results := make(chan result, len(hosts))
	for _, h := range hosts {
		go func() {
			var reply VersionReply
			err := r.pool.call(limited, h.Peers, methodVersion, &VersionArgs{answer}, &reply, versionAskTimeout)
			results <- result{h, reply, err}
		}()
	}
	for range hosts {
		got := <-results
		switch {
		case got.err == nil && got.reply.Known:
			r.board.Versions.Add(got.reply.Record, clock.Now())
			return got.reply.Record, got.host.Name, true
		case got.err != nil && !isUnknownMethod(got.err):
			complete = false
		}
	}
	return versions.Record{}, "", complete
}

// isUnknownMethod reports whether a host answered that it doesn't know a method.
func isUnknownMethod(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered)
}

// Version answers another host's question for the version that began an answer.
func (s *server) Version(a *VersionArgs, reply *VersionReply) error {
	reply.Record, reply.Known = s.r.board.Versions.Find(a.Answer, clock.Now())
	return nil
}

func (r *Router) inOwnRegion(region string) bool { return region == r.board.Settings.Region }

// versionHosts returns the live hosts that hold an answer's version: the first perDomain ones, by the
// answer's fingerprint, of the first failure domains of each wanted region. This host isn't among them.
// complete is false if a failure domain is left out because this host is cut off from it.
func (r *Router) versionHosts(answer request.Fingerprint, perDomain int, wanted func(region string) bool) (out []blackboard.Host, complete bool) {
	v := r.board.Config.View()
	if v == nil {
		return nil, false
	}
	complete = true
	now, key := time.Now(), xxhash.Sum64(answer[:])
	perRegion := map[string]int{}
	for i := range v.Doc.Domains {
		d := &v.Doc.Domains[(i+int(key%uint64(len(v.Doc.Domains))))%len(v.Doc.Domains)]
		if !wanted(d.Region) || perRegion[d.Region] == maxRecordingDomains {
			continue
		}
		perRegion[d.Region]++
		if r.board.Domains.CutOff(d.Name, now) {
			complete = false
			continue
		}
		for _, h := range r.recorders(key, d.Name, perDomain, now) {
			if h.Number != r.board.Number && h.Peers != "" && !h.Unconfirmed {
				out = append(out, h)
			}
		}
	}
	return out, complete
}

// recorderKey is the rendezvous key by which the hosts that hold versions are chosen.
const recorderKey = 0x7265_636f_7264

// recorders returns the hosts of a failure domain that hold an answer's version, at most n, in rendezvous order by
// the answer's key.
func (r *Router) recorders(key uint64, domain string, n int, now time.Time) []blackboard.Host {
	hosts, isLarge := r.allRecorders(domain, now)
	if isLarge {
		n = max(1, n-1)
	}
	slices.SortFunc(hosts, func(a, b blackboard.Host) int {
		return cmp.Compare(blackboard.Rendezvous(key, b.Number), blackboard.Rendezvous(key, a.Number))
	})
	return hosts[:min(n, len(hosts))]
}

// recorderSet holds the hosts of a failure domain that hold versions.
type recorderSet struct {
	hosts   []blackboard.Host
	isLarge bool // the failure domain has more hosts
	at      time.Time
}

// recordersKept is how long a recorderSet is used: choosing it looks at all hosts.
const recordersKept = 250 * time.Millisecond

// allRecorders returns the hosts of a failure domain that hold versions, and whether the domain has more hosts.
func (r *Router) allRecorders(domain string, now time.Time) (hosts []blackboard.Host, isLarge bool) {
	r.recordersMu.Lock()
	defer r.recordersMu.Unlock()
	set, known := r.recorderSets[domain]
	if !known || now.Sub(set.at) > recordersKept || r.board.Leaving() {
		all := r.board.Hosts.Order(recorderKey, domain, now)
		set = recorderSet{all[:min(len(all), maxRecorders)], len(all) > maxRecorders, now}
		r.recorderSets[domain] = set
	}
	return slices.Clone(set.hosts), set.isLarge
}

// HandOverVersions sends the recent records of a host that is leaving to the hosts that take its place.
func (r *Router) HandOverVersions() {
	rows := map[string][]versions.Record{}
	hosts := map[string]blackboard.Host{}
	for _, rec := range r.board.Versions.Since(recentVersions, maxVersionRows*recordersPerDomain, clock.Now()) {
		for _, h := range r.recorders(xxhash.Sum64(rec.Answer[:]), r.board.Settings.Domain, recordersPerDomain, time.Now()) {
			if h.Number != r.board.Number && h.Peers != "" && !h.Unconfirmed && len(rows[h.Name]) < maxVersionRows {
				rows[h.Name], hosts[h.Name] = append(rows[h.Name], rec), h
			}
		}
	}
	for name, list := range rows {
		go func() {
			if err := r.tellVersions(hosts[name], list); err != nil {
				r.log.Debug("versions not handed over", zap.String("host", name), zap.Error(err))
			}
		}()
	}
}

// learnVersions asks a host for recent records, if this one has started and lacks them.
func (r *Router) learnVersions(h blackboard.Host) {
	r.mu.Lock()
	due := r.versionsLearned < versionTeachers
	if due {
		r.versionsLearned++
	}
	r.mu.Unlock()
	if !due {
		return
	}
	go func() {
		var reply VersionsArgs
		if err := r.pool.call(context.Background(), h.Peers, methodRecords, &Nothing{}, &reply, r.timeout()); err != nil {
			r.log.Debug("versions not learned", zap.String("host", h.Name), zap.Error(err))
			return
		}
		for _, row := range reply.Rows {
			r.board.Versions.Add(row, clock.Now())
		}
	}()
}

// VersionsSince returns the recent records to a host that has started.
func (s *server) VersionsSince(_ *Nothing, reply *VersionsArgs) error {
	reply.Rows = s.r.board.Versions.Since(recentVersions, maxVersionRows, clock.Now())
	return nil
}
