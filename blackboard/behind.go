package blackboard

import "time"

// HeardOf notes that another host has a revision in force. It reports whether
// that is news of one that this host lacks.
func (t *ConfigTable) HeardOf(revision uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.newest || revision <= t.Revision() {
		return false
	}
	if t.newest <= t.Revision() {
		t.newestAt = now // else it has been behind since an earlier one
	}
	t.newest = revision
	return true
}

// Behind returns how long this host has known of a revision that it lacks; 0:
// of none.
func (t *ConfigTable) Behind(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest <= t.Revision() {
		return 0
	}
	return now.Sub(t.newestAt)
}
