package blackboard

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/quota"
	"github.com/embercove/embercove/request"
)

// Board is the blackboard of one process.
type Board struct {
	Settings    *config.Settings
	Number      uint32 // of this host
	Incarnation uint64 // of this process, ms since 1970

	Config    *ConfigTable
	Emptied   *EvacuationTable
	Hosts     *HostTable
	Domains   *DomainTable
	Endpoints *EndpointTable
	Regions   *RegionTable
	Requests  *RequestTable
	Keys      *KeyTable
	Quotas    *quota.Accounts      // of the teams whose limits this host holds
	Suspects  *quarantine.Registry // requests under which endpoints ended
	Invariant *invariant.Set
	Pause     *Pause
	Wake      *Wake

	began    time.Time
	leaving  atomic.Bool
	draining atomic.Bool
	left     atomic.Pointer[time.Time] // when the process began to leave
	stopAt   atomic.Pointer[time.Time] // when a planned stop ends; nil: no end is set
	counter  atomic.Uint64
}

// New returns the empty board of a process.
func New(s *config.Settings) *Board {
	inv := new(invariant.Set)
	b := &Board{
		Settings: s, Number: request.HostNumber(s.Host), Incarnation: uint64(time.Now().UnixMilli()),
		Config: newConfigTable(inv), Emptied: new(EvacuationTable), Domains: newDomainTable(s.Domain), Endpoints: newEndpointTable(),
		Regions: newRegionTable(), Requests: newRequestTable(inv),
		Keys: newKeyTable(), Quotas: quota.NewAccounts(rand.Uint64() << 16), Suspects: quarantine.New(s.Host), Invariant: inv, Wake: newWake(), began: time.Now(),
		Pause: NewPause(config.Millis(s.PauseMillis)),
	}
	b.Hosts = newHostTable(Host{
		Name: s.Host, Number: b.Number, Domain: s.Domain, Region: s.Region, Peers: s.PeersAt(),
		Incarnation: b.Incarnation, Noted: time.Now(),
	}, config.Millis(s.SuspectMillis), config.Millis(s.HeartbeatMillis))
	return b
}

// meetTime is how long a host that starts takes to meet the others: two exchanges
// with a seed, and a time-out of one that is silent. Until then it would take itself
// for the only host of its domain and all endpoints for its own, and hundreds of hosts
// that start at once would each ask all endpoints for their reports.
const meetTime = 500 * time.Millisecond

// Meeting reports whether the host has only just started and knows of seeds that it
// may not have met yet.
func (b *Board) Meeting(now time.Time) bool {
	return len(b.Settings.Seeds) > 0 && now.Sub(b.began) < meetTime
}

// joinTime is how long a host that starts may take to meet the others where hundreds
// start at once over narrow links. Later than that they count as gone.
const joinTime = 4 * time.Second

// Joining reports whether the host has started so lately that it may have met only some
// of the others.
func (b *Board) Joining(now time.Time) bool {
	return len(b.Settings.Seeds) > 0 && now.Sub(b.began) < joinTime
}

// NextID returns a new request id.
func (b *Board) NextID() request.ID {
	return request.ID{Host: b.Number, Incarnation: b.Hosts.Self().Incarnation, Counter: b.counter.Add(1)}
}

// SetLeaving takes readiness away and the endpoints to other owners, while
// requests are still taken. It isn't undone.
func (b *Board) SetLeaving() {
	now := time.Now()
	b.left.CompareAndSwap(nil, &now)
	b.leaving.Store(true)
	b.Hosts.SetLeaving()
	b.Wake.All()
}

// Leaving reports whether the process is about to stop.
func (b *Board) Leaving() bool { return b.leaving.Load() }

// LeavingFor returns how long ago the process began to leave; 0: it hasn't.
func (b *Board) LeavingFor() time.Duration {
	at := b.left.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// SetStop sets when a planned stop ends, whatever is still in progress.
func (b *Board) SetStop(at time.Time) { b.stopAt.Store(&at) }

// StopsWithin reports whether a planned stop ends before d has passed.
func (b *Board) StopsWithin(d time.Duration) bool {
	at := b.stopAt.Load()
	return at != nil && time.Until(*at) < d
}

// SetDraining has new requests refused. It isn't undone.
func (b *Board) SetDraining() { b.draining.Store(true) }

// Draining reports whether new requests are refused.
func (b *Board) Draining() bool { return b.draining.Load() }
