package blackboard

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/quota"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/versions"
)

// Board is the blackboard of one process.
type Board struct {
	Settings    *config.Settings
	Number      uint32 // of this host
	Incarnation uint64 // of this process, ms since 1970

	Config      *ConfigTable
	Evacuations *EvacuationTable
	Hosts       *HostTable
	Domains     *DomainTable
	Answers     *Answers
	Link        *LinkDelay
	Intake      *intake.Gate // holds callers off while calls of this host wait
	Paths       *PathTable
	Endpoints   *EndpointTable
	Regions     *RegionTable
	Requests    *RequestTable
	Keys        *KeyTable
	Quotas      *quota.Accounts      // of the teams whose limits this host holds
	Suspects    *quarantine.Registry // requests during which endpoints crashed
	Parts       *quarantine.Parts    // parts of prompts that engines crashed under
	Versions    *versions.Table      // which software version began each answer
	Invariant   *invariant.Set
	Pause       *Pause
	Wake        *Wake

	startedAt    time.Time
	leaving      atomic.Bool
	draining     atomic.Bool
	leavingSince atomic.Pointer[time.Time] // when the process began to leave
	stopDeadline atomic.Pointer[time.Time] // deadline of a planned stop; nil: none
	counter      atomic.Uint64
}

// New returns the empty board of a process.
func New(s *config.Settings) *Board {
	inv := new(invariant.Set)
	b := &Board{
		Settings: s, Number: request.HostNumber(s.Host), Incarnation: uint64(time.Now().UnixMilli()),
		Config: newConfigTable(inv), Evacuations: new(EvacuationTable), Domains: newDomainTable(s.Domain), Answers: new(Answers), Link: new(LinkDelay), Intake: intake.NewGate(), Paths: newPathTable(), Endpoints: newEndpointTable(),
		Regions: newRegionTable(), Requests: newRequestTable(inv),
		Keys: newKeyTable(), Quotas: quota.NewAccounts(rand.Uint64() << 16), Suspects: quarantine.New(s.Host), Versions: versions.NewTable(), Invariant: inv, Wake: newWake(), startedAt: time.Now(),
		Pause: NewPause(config.Millis(s.PauseMillis)),
	}
	b.Parts = quarantine.NewParts(s.Host, b.Suspects)
	b.Hosts = newHostTable(Host{
		Name: s.Host, Number: b.Number, Domain: s.Domain, Region: s.Region, Peers: s.PeersAddress(),
		Incarnation: b.Incarnation, ChangedAt: time.Now(),
	}, config.Millis(s.SuspectMillis), config.Millis(s.HeartbeatMillis))
	return b
}

// discoveryTime is how long a starting host takes to discover the others: two exchanges with a
// seed and the timeout of a silent one. Until then it would consider itself the only host of
// its domain and the owner of all endpoints, and hundreds of hosts that start at once would
// each poll all endpoints.
const discoveryTime = 500 * time.Millisecond

// Discovering reports whether the host has just started and has seeds that it may not have
// contacted yet.
func (b *Board) Discovering(now time.Time) bool {
	return len(b.Settings.Seeds) > 0 && now.Sub(b.startedAt) < discoveryTime
}

// joinTime is how long a starting host may take to discover the others when hundreds start at
// once over narrow links. Hosts that are still unknown after that count as gone.
const joinTime = 4 * time.Second

// Joining reports whether the host started so recently that it may know only some of the others.
func (b *Board) Joining(now time.Time) bool {
	return len(b.Settings.Seeds) > 0 && now.Sub(b.startedAt) < joinTime
}

// NewRequestID returns a new request id.
func (b *Board) NewRequestID() request.ID {
	return request.ID{Host: b.Number, Incarnation: b.Hosts.Self().Incarnation, Counter: b.counter.Add(1)}
}

// SetLeaving ends readiness and moves the endpoints to other owners, while requests are still
// accepted. It can't be undone.
func (b *Board) SetLeaving() {
	now := time.Now()
	b.leavingSince.CompareAndSwap(nil, &now)
	b.leaving.Store(true)
	b.Hosts.SetLeaving()
	b.Wake.All()
}

// Leaving reports whether the process is about to stop.
func (b *Board) Leaving() bool { return b.leaving.Load() }

// LeavingFor returns how long ago the process began to leave, or 0 if it hasn't.
func (b *Board) LeavingFor() time.Duration {
	at := b.leavingSince.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// SetStop sets the time at which a planned stop ends, whatever is still in progress.
func (b *Board) SetStop(at time.Time) { b.stopDeadline.Store(&at) }

// StopsWithin reports whether a planned stop ends before d has passed.
func (b *Board) StopsWithin(d time.Duration) bool {
	at := b.stopDeadline.Load()
	return at != nil && time.Until(*at) < d
}

// SetDraining makes the process refuse new requests. It can't be undone.
func (b *Board) SetDraining() { b.draining.Store(true) }

// Draining reports whether new requests are refused.
func (b *Board) Draining() bool { return b.draining.Load() }
