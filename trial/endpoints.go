package trial

import (
	"fmt"
	"net/http"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// serviceLatency is how long the stand-in services take to answer.
const serviceLatency = 15 * time.Millisecond

func (c *Cluster) startEndpoint(i int) error {
	e := &c.Doc.Endpoints[i]
	var h http.Handler
	var setFaults func(fake.Faults)
	if e.Role == config.Service {
		app := &fake.App{Name: e.Name, Latency: serviceLatency}
		c.Apps[e.Name] = app
		h, setFaults = app, app.SetFaults
	}
	memoryAddr := fmt.Sprintf("127.8.%d.%d:80", i/250, i%250+1)
	var deferred *deferredHandler
	if h == nil {
		deferred = new(deferredHandler)
		h = deferred
	}
	addr, err := c.serve(e.Domain, memoryAddr, h)
	if err != nil {
		return err
	}
	e.Address = addr
	if deferred != nil {
		r := fake.NewRunner(*e, c.kvBytes(e.Model), c.version(e), c.dial(e.Domain))
		deferred.handler = r
		c.Runners[e.Name] = r
		setFaults = r.SetFaults
	}
	if c.options.Faults != nil {
		setFaults(c.options.Faults(e.Name))
	}
	return nil
}

// deferredHandler serves a listener whose handler is set later: a runner can be created
// only once the address of its listener is known.
type deferredHandler struct{ handler http.Handler }

func (l *deferredHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	l.handler.ServeHTTP(w, q)
}

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

// Records returns the records of all stand-ins.
func (c *Cluster) Records() []fake.Record {
	var out []fake.Record
	for _, r := range c.Runners {
		out = append(out, r.Records()...)
	}
	for _, a := range c.Apps {
		out = append(out, a.Records()...)
	}
	return out
}

// Held returns how many attempts hold memory at the stand-in runners.
func (c *Cluster) Held() int {
	n := 0
	for _, r := range c.Runners {
		a, _ := r.Held()
		n += a
	}
	return n
}
