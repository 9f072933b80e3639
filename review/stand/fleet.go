package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Paths below the repository's root.
const (
	daemonPath   = "target/embercoved"
	templatePath = "deploy/settings.hujson"
)

// Ports of each host, as all hosts of a deployment have the same.
const (
	portCallers = 8144
	portReady   = 8140
	portPeers   = 8146
)

// Bounds of the site rca-embercove.
const (
	Grace      = 8 * time.Second
	ApplyBound = 2 * time.Second
)

var zones = []string{"cordoba-a", "cordoba-b", "rosario-c"}

// Host is an entry host: a process of embercoved.
type Host struct {
	Name, Zone, ip string
	settings, log  string
	process        *exec.Cmd
	ended          chan struct{}
}

// Callers returns the address at which the host serves clients.
func (h *Host) Callers() string { return fmt.Sprintf("%s:%d", h.ip, portCallers) }

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) { _ = h.process.Process.Signal(s) }

// Ended is closed once the host's process has ended.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// Fleet is a deployment with one host in each of three zones.
type Fleet struct {
	Store   *Store
	Hosts   []*Host
	record  *Record
	dir     string
	closers []func()
	nextIP  int
}

// NewFleet returns a deployment without hosts and servers. All its files are in a temporary folder.
func NewFleet(r *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "embercove-review")
	return &Fleet{Store: NewStore(), record: r, dir: dir}, err
}

// loopback returns a loopback address that no other part of this process uses.
func (f *Fleet) loopback() string {
	f.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, f.nextIP)
}

// Serve serves a stand-in on a free port, and returns its address.
func (f *Fleet) Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", f.loopback()+":0")
	if err != nil {
		return "", err
	}
	f.ServeOn(l, h)
	return l.Addr().String(), nil
}

// ServeOn serves a stand-in on a listener.
func (f *Fleet) ServeOn(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	f.closers = append(f.closers, func() { srv.Close() })
}

// Start starts the hosts and waits until all are ready and had time to know the servers.
func (f *Fleet) Start() error {
	store, err := f.Serve(f.Store)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		h := &Host{Name: fmt.Sprintf("frontend-%s-1", zone), Zone: zone, ip: f.loopback()}
		h.settings, h.log = filepath.Join(f.dir, fmt.Sprintf("host-%d.conf", i)), filepath.Join(f.dir, fmt.Sprintf("host-%d.log", i))
		f.Hosts = append(f.Hosts, h)
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.ip, portPeers))
	}
	for _, h := range f.Hosts {
		if err := os.WriteFile(h.settings, []byte(fill(string(text), []scope{{value: fields(h, store, seeds)}})), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		f.record.Printf("host %s started, serves clients at %s", h.Name, h.Callers())
	}
	for _, h := range f.Hosts {
		if !h.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s did not become ready", h.Name)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime is for hosts that have just started: traffic starts 10 s after the machines do.
const settleTime = 10 * time.Second

// fields returns what the platform fills into a host's settings, with the values of rca-embercove.
func fields(h *Host, store string, seeds []string) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	table := map[string]any{}
	for _, z := range zones {
		table[z] = "ar-centro"
	}
	return map[string]any{
		"nodeName": h.Name, "zone": h.Zone, "region": "ar-centro", "zones": table, "ipAddress": h.ip, "seedNodes": seeds,
		"listenAddresses": map[string]any{"frontend": at(portCallers), "readiness": at(portReady), "controlPlane": at(portPeers)},
		"limits":          map[string]any{"memoryMb": 284, "fileDescriptors": 4100},
		"platform":        map[string]any{"address": store},
		"bounds": map[string]any{"gracePeriodS": Grace.Seconds(), "configApplyMs": ApplyBound.Milliseconds(), "retryBudgetRatio": 0.2,
			"retryWindowS": 10, "retryBudgetExtra": 54},
	}
}

func (h *Host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.process = exec.Command(daemonPath, "-settings", h.settings)
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.process.Wait()
		close(h.ended)
	}()
	return nil
}

// Restart starts a host again whose process has ended, and waits until it is ready.
func (h *Host) Restart() error {
	if err := h.start(); err != nil {
		return err
	}
	if !h.awaitReady(10 * time.Second) {
		return fmt.Errorf("%s did not become ready again", h.Name)
	}
	return nil
}

func (h *Host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.Ready() {
			return true
		}
	}
	return false
}

// Ready asks the host whether it is ready, as the platform does once a second.
func (h *Host) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", h.ip, portReady), nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// Close ends all processes and stand-ins, and removes the temporary folder. With KEEP set in the
// environment it keeps the folder.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		if h.process == nil || h.process.Process == nil {
			continue
		}
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		<-h.ended
	}
	for _, c := range f.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

// Entry is a server's entry in the store.
func Entry(service, address, zone, stage, state string, slots int) map[string]any {
	e := map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, Word("field-state"): state,
		Word("field-cold"): 0, "sequenceNumber": 4}
	if stage != "" {
		e[Word("field-stage")] = stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

// Register writes a server's entry.
func (f *Fleet) Register(id string, entry map[string]any) {
	if entry == nil {
		f.Store.Put(Word("key-servers")+id, nil)
		return
	}
	f.Store.Put(Word("key-servers")+id, entry)
}

// Configure writes a configuration with some routes.
func (f *Fleet) Configure(version int, routes ...map[string]any) {
	f.Store.Put(Word("key-config"), map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": EngineService, "healthPath": "/health", "connectionLimit": 360, "protocol": "h1", "tlsEnabled": false,
				"inferenceEngine": map[string]any{"slots": 64, "kvCapacityTokens": 89474, "kvTokenBytes": 18432, "linkBandwidthMbps": 700000.0,
					"migrations": true, "backups": true, "stride": 1, "most": 12, "kvRetentionS": 0.5, "roleSwitchS": 6.0, "pinDurationMs": 4000.0,
					"holdDurationMs": 2000.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": PlainService, "healthPath": "/health", "connectionLimit": 100, "protocol": "h1", "tlsEnabled": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// Names of the services.
const (
	EngineService = "modelos-clima"
	PlainService  = "registros-api"
)

// HostName is the Host header of all routes.
const HostName = "ficu95.example"

// Route returns a route of a configuration. A kind is one of the platform's.
func Route(name, prefix, kind, service string, timeout time.Duration, attempts int, resumable bool) map[string]any {
	r := map[string]any{"name": name, "host": HostName, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": attempts}
	if kind == "streaming" {
		r["targetLatencyMs"], r["priority"], r["sessionAffinity"], r["resumable"], r["itlTargetMs"] = 900, 1, true, resumable, 300
	}
	return r
}
