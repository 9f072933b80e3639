package strict

import (
	"context"
	"net"
	"sync"
)

// dialFunc opens a connection, as that of http.Transport.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// recorder is a connection that records the beginning of an answer: net/http doesn't pass on all fields of its heads.
type recorder struct {
	net.Conn

	mu   sync.Mutex
	left int // bytes that are still recorded
	head []byte
}

// recordHeads returns a dial function whose connections are recorders.
func recordHeads(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recorder{Conn: conn}, nil
	}
}

// start begins to record up to size bytes.
func (r *recorder) start(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left, r.head = size, nil
}

// stop ends the record and returns it.
func (r *recorder) stop() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := r.head
	r.left, r.head = 0, nil
	return head
}

// Read implements net.Conn.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded := min(n, r.left)
	r.head = append(r.head, p[:recorded]...)
	r.left -= recorded
	return n, err
}

// Gateway returns the host that passes the connection on; empty: none does.
func (r *recorder) Gateway() string {
	if t, ok := r.Conn.(interface{ Gateway() string }); ok {
		return t.Gateway()
	}
	return ""
}
