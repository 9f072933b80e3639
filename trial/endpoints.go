package trial

import (
	"fmt"
	"net/http"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// serviceTime is how long the stand-in services take.
const serviceTime = 15 * time.Millisecond

func (c *Cluster) startEndpoint(i int) error {
	e := &c.Doc.Endpoints[i]
	var h http.Handler
	var setFaults func(fake.Faults)
	if e.Role == config.Service {
		app := &fake.App{Name: e.Name, Takes: serviceTime}
		c.Apps[e.Name] = app
		h, setFaults = app, app.SetFaults
	}
	address := fmt.Sprintf("127.8.%d.%d:80", i/250, i%250+1)
	var run *lateHandler
	if h == nil {
		run = new(lateHandler)
		h = run
	}
	addr, err := c.serve(e.Domain, address, h)
	if err != nil {
		return err
	}
	e.Address = addr
	if run != nil {
		r := fake.NewRunner(*e, c.kvBytes(e.Model), c.version(e), c.dial(e.Domain))
		run.h = r
		c.Runners[e.Name] = r
		setFaults = r.SetFaults
	}
	if c.opts.Faults != nil {
		setFaults(c.opts.Faults(e.Name))
	}
	return nil
}

// lateHandler lets a listener be opened before its handler is known.
type lateHandler struct{ h http.Handler }

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) { l.h.ServeHTTP(w, q) }

func (c *Cluster) kvBytes(model string) int64 {
	for _, m := range c.Doc.Models {
		if m.Name == model {
			return m.KVBytesPerToken
		}
	}
	return 0
}

func (c *Cluster) version(e *config.Endpoint) string {
	for _, m := range c.Doc.Models {
		if m.Name == e.Model && e.Version == "" {
			return m.Version
		}
	}
	return e.Version
}

// Truth returns the records of every stand-in.
func (c *Cluster) Truth() []fake.Record {
	var out []fake.Record
	for _, r := range c.Runners {
		out = append(out, r.Truth()...)
	}
	for _, a := range c.Apps {
		out = append(out, a.Truth()...)
	}
	return out
}

// Held returns how many attempts hold memory at the stand-ins.
func (c *Cluster) Held() int {
	n := 0
	for _, r := range c.Runners {
		a, _ := r.Held()
		n += a
	}
	return n
}
