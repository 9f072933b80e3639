package fake

import "sync"

// Record says what one attempt did at one stand-in.
type Record struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Prompt     uint64 `json:"prompt"` // PromptHash; for services the hash of the body
	Tokens     int    `json:"tokens"` // prefilled or decoded
	Cached     int    `json:"cached"`
	Ran        bool   `json:"ran"` // work began
	Finished   bool   `json:"finished"`
	Aborted    bool   `json:"aborted"`
	Used       bool   `json:"used"` // prefill: the result was imported
	Repeatable bool   `json:"repeatable"`
	Leaving    bool   `json:"leaving"` // arrived after the stand-in began to leave
	StartedMS  int64  `json:"started_ms"`
}

// recordList collects the records of a stand-in.
type recordList struct {
	mu      sync.Mutex
	records []*Record
}

func (t *recordList) add(r Record) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, &r)
	return t.records[len(t.records)-1]
}

// update changes a record under the lock.
func (t *recordList) update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

func (t *recordList) snapshot() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, len(t.records))
	for i, r := range t.records {
		out[i] = *r
	}
	return out
}
