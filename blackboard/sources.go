package blackboard

import "github.com/embercove/embercove/config"

// Source is a document as it was published.
type Source struct {
	Revision uint64
	Sum      uint64 // xxhash of Text
	Text     []byte
}

// keptSources is the number of documents kept, so that hosts with an earlier one can be sent
// the change: the one in force and two earlier ones.
const keptSources = 3

// keepSource keeps the document of a view that came into force. The caller holds the lock.
func (t *ConfigTable) keepSource(v *config.View) {
	t.sources = append(t.sources, Source{v.Revision, v.Digest, v.Source})
	if len(t.sources) > keptSources {
		t.sources = append([]Source(nil), t.sources[1:]...)
	}
}

// Newest returns the document in force; its revision is 0 before the first.
func (t *ConfigTable) Newest() Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.sources) == 0 {
		return Source{}
	}
	return t.sources[len(t.sources)-1]
}

// Source returns the document of a revision, or nil if it isn't kept.
func (t *ConfigTable) Source(revision uint64) *Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sources {
		if s.Revision == revision {
			return &s
		}
	}
	return nil
}
