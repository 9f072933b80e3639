package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/result"
)

// ConfigTable holds the revision in force. It only rises.
type ConfigTable struct {
	inv   *invariant.Set
	inUse atomic.Pointer[config.View]

	mu       sync.Mutex
	rejected uint64 // highest revision that was rejected
	cause    string
	since    time.Time // when the revision in force was accepted
	heard    time.Time // when the platform last answered
}

func newConfigTable(inv *invariant.Set) *ConfigTable { return &ConfigTable{inv: inv} }

// View returns the revision in force, or nil before the first.
func (t *ConfigTable) View() *config.View { return t.inUse.Load() }

// Revision returns the number in force; 0 before the first.
func (t *ConfigTable) Revision() uint64 {
	if v := t.View(); v != nil {
		return v.Revision
	}
	return 0
}

// Rejected returns the highest revision that was rejected; 0: none.
func (t *ConfigTable) Rejected() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

// Offer accepts a published document if it is valid and newer than the one
// in force, and reports whether it came into force. An error says why a
// newer document was rejected; the one in force stays.
func (t *ConfigTable) Offer(revision uint64, src []byte) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur := t.inUse.Load()
	if cur != nil && revision <= cur.Revision {
		if revision == cur.Revision && string(src) != string(cur.Source) {
			return false, result.Errorf(result.RevisionClash, "revision %d was published with two contents", revision)
		}
		return false, nil
	}
	if revision == t.rejected {
		return false, nil
	}
	v, err := config.NewView(revision, src)
	if err != nil {
		if revision > t.rejected {
			t.rejected, t.cause = revision, err.Error()
		}
		return false, result.Errorf(result.RevisionInvalid, "revision %d: %v", revision, err)
	}
	old := t.inUse.Swap(v)
	t.inv.Check(old == nil || old.Revision < revision, invariant.RevisionRises, "from %v to %d", old, revision)
	t.since = time.Now()
	return true, nil
}

// Heard notes that the platform answered.
func (t *ConfigTable) Heard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = now
}

// ConfigStatus is what operators see of the configuration of one host.
type ConfigStatus struct {
	Revision       uint64    `json:"revision"`
	Since          time.Time `json:"since"`
	Rejected       uint64    `json:"rejected_revision,omitempty"`
	Cause          string    `json:"rejected_cause,omitempty"`
	PlatformHeard  time.Time `json:"platform_heard"`
	PlatformSilent float64   `json:"platform_silent_s"`
}

// Status returns what operators see.
func (t *ConfigTable) Status(now time.Time) ConfigStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := ConfigStatus{Revision: t.Revision(), Since: t.since, Rejected: t.rejected, Cause: t.cause, PlatformHeard: t.heard, PlatformSilent: -1}
	if !t.heard.IsZero() {
		s.PlatformSilent = now.Sub(t.heard).Seconds()
	}
	return s
}
