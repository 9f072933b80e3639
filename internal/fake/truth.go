package fake

import "sync"

// Record is the truth about one attempt at one stand-in.
type Record struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Prompt     uint64 `json:"prompt"` // PromptHash; for services of the body
	Tokens     int    `json:"tokens"` // read or written
	Cached     int    `json:"cached"`
	Ran        bool   `json:"ran"` // work began
	Finished   bool   `json:"finished"`
	Aborted    bool   `json:"aborted"`
	Used       bool   `json:"used"` // prefill: the result was imported
	Repeatable bool   `json:"repeatable"`
	Leaving    bool   `json:"leaving"` // came after the stand-in began to leave
	StartedMS  int64  `json:"started_ms"`
}

// truth gathers records.
type truth struct {
	mu   sync.Mutex
	rows []*Record
}

func (t *truth) add(r Record) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = append(t.rows, &r)
	return t.rows[len(t.rows)-1]
}

// set changes a record under the lock.
func (t *truth) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

func (t *truth) list() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, len(t.rows))
	for i, r := range t.rows {
		out[i] = *r
	}
	return out
}
