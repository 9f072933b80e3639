// Package publish reads what a platform publishes: revisions of the configuration, the registered
// endpoints, and the list of hosts. It never writes.
//
// Client speaks the project's own protocol. Follower follows any store that can be listed and
// watched; package platform provides one.
package publish

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/internal/strict"
)

// Paths of the platform's read interface.
const (
	PathConfig = "/v1/config"
	PathHosts  = "/v1/hosts"
)

// MaxValue is the maximum size of a value on the platform, in bytes.
const MaxValue = 1 << 20

// Revision is a published document. A later one has a higher number.
type Revision struct {
	Revision uint64 `json:"revision"`
	Document string `json:"document"`
}

// Host is a row of the platform's list of hosts.
type Host struct {
	Name    string `json:"name"`
	Domain  string `json:"failure_domain"`
	Region  string `json:"region"`
	Peers   string `json:"peers_address"`
	Leaving bool   `json:"leaving"`
}

// HostList is the list of live and leaving hosts. It may lag behind.
type HostList struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// maxHead bounds the head of an answer, in bytes.
const maxHead = 64 << 10

// Client reads from a platform at one address.
type Client struct {
	addr string
	hc   *http.Client
}

// NewClient returns a client of the platform at addr. If dial is nil, it dials TCP.
func NewClient(addr string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	return &Client{addr: addr, hc: strict.NewClient(&http.Transport{DialContext: dial, IdleConnTimeout: 90 * time.Second, MaxResponseHeaderBytes: maxHead})}
}

// Close drops idle connections.
func (c *Client) Close() { c.hc.CloseIdleConnections() }

// watchMargin is how much later than requested the answer of a watch may begin.
const watchMargin = 5 * time.Second

// watch makes one long poll. It returns false if nothing newer arrived in time.
func (c *Client) watch(ctx context.Context, path string, after uint64, wait time.Duration, v any) (bool, error) {
	ctx, guard := NewGuard(ctx, wait+watchMargin)
	newer, err := c.poll(ctx, guard, path, after, wait, v)
	return newer, errors.Wrap(guard.End(err), "publish")
}

// poll makes the HTTP call of watch.
func (c *Client) poll(ctx context.Context, guard *Guard, path string, after uint64, wait time.Duration, v any) (bool, error) {
	url := fmt.Sprintf("http://%s%s?after=%d&wait_ms=%d", c.addr, path, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	res, err := c.hc.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNoContent:
		return false, nil
	case http.StatusOK:
	default:
		return false, errors.Errorf("status %d", res.StatusCode)
	}
	guard.Begin()
	err = strict.DecodeObject(guard.Reader(res.Body), 2*MaxValue, v)
	return err == nil, err
}

// Config waits for a revision later than after. A stale replica may return an older one, so the
// caller has to compare.
func (c *Client) Config(ctx context.Context, after uint64, wait time.Duration) (*Revision, error) {
	r := new(Revision)
	if ok, err := c.watch(ctx, PathConfig, after, wait, r); !ok {
		return nil, err
	}
	return r, nil
}

// Hosts waits for a list of hosts with a version later than after.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (*HostList, error) {
	l := new(HostList)
	if ok, err := c.watch(ctx, PathHosts, after, wait, l); !ok {
		return nil, err
	}
	return l, nil
}
