package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrivals gives each connection of a caller a place in the gate's window, which its first request keeps until it
// has arrived. Later requests need a place of their own.
type Arrivals struct {
	gate *Gate

	mu     sync.Mutex
	places map[net.Conn]*Place
}

// Place is a connection's place in the window.
type Place struct {
	gate *Gate

	mu      sync.Mutex
	held    bool
	awaits  bool // the connection has sent nothing so far
	began   time.Time
	expires *time.Timer // for callers that connect and send nothing
}

// idleAfter is after how long a connection that sends nothing loses its place.
const idleAfter = time.Second

// NewArrivals returns an Arrivals for a gate.
func NewArrivals(g *Gate) *Arrivals { return &Arrivals{gate: g, places: map[net.Conn]*Place{}} }

// placeKey is the key of a Place in the context of a request.
type placeKey struct{}

// PlaceOf returns the place of a request's connection; one that isn't held if the connection has none.
func (g *Gate) PlaceOf(ctx context.Context) *Place {
	if p, ok := ctx.Value(placeKey{}).(*Place); ok {
		return p
	}
	return &Place{gate: g}
}

// ConnContext is the hook of an http.Server for new connections.
func (a *Arrivals) ConnContext(ctx context.Context, c net.Conn) context.Context {
	p := &Place{gate: a.gate, held: true, awaits: true, began: time.Now()}
	p.mu.Lock()
	p.expires = time.AfterFunc(idleAfter, p.Release)
	p.mu.Unlock()
	a.gate.begin()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.places[c] = p
	if conn, ok := c.(*Conn); ok {
		ctx = context.WithValue(ctx, connKey{}, conn)
	}
	return context.WithValue(ctx, placeKey{}, p)
}

// ConnState is the hook of an http.Server for connections that change their state.
func (a *Arrivals) ConnState(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	p := a.places[c]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.places, c)
	}
	a.mu.Unlock()
	switch {
	case p == nil || state == http.StateNew:
	case state == http.StateActive:
		p.noteHead()
	default:
		p.Release()
	}
}

// noteHead notes that the first bytes of a request are there. What fills the host's link delays those of a new
// connection.
func (p *Place) noteHead() {
	p.mu.Lock()
	awaited, took := p.awaits, time.Since(p.began)
	p.awaits = false
	p.mu.Unlock()
	if awaited {
		p.gate.NoteDelay(took)
	}
}

// Acquire acquires a place for a request, and reports whether there was one: it was held already, or the gate
// admits requests. With force there always is.
func (p *Place) Acquire(force bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held && (force || p.gate.Admits()) {
		p.held = true
		p.gate.begin()
	}
	return p.held
}

// Release ends the place, as the request has arrived or won't.
func (p *Place) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expires != nil {
		p.expires.Stop()
	}
	if p.held {
		p.held = false
		p.gate.end()
	}
}
