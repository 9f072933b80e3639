package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a host, alike on all, as the deployment's machines have them.
const (
	portCallers, portReadiness, portPeers = 8144, 8140, 8146
)

// zoneNames are the failure domains of the deployment.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// bounds are the deployment's bounds that the settings name, as in the users' small deployments.
var bounds = map[string]any{
	"gracePeriodS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 54,
}

// record is the account of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, start: time.Now()}, err
}

// logf writes a line with the seconds since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// host is an entry host, a process of the daemon.
type host struct {
	name, zone, ip string
	settings, log  string
	daemon         string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// start starts a process of the host with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(h.daemon, "-settings", h.settings)
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = p, ended
	h.mu.Unlock()
	go func() {
		_ = p.Wait()
		out.Close()
		close(ended)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// end returns a channel that is closed when the host's process has ended.
func (h *host) end() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// logLines returns the host's log lines that hold all of some texts.
func (h *host) logLines(texts ...string) (out []string) {
	src, _ := os.ReadFile(h.log)
next:
	for line := range strings.Lines(string(src)) {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue next
			}
		}
		out = append(out, strings.TrimSpace(line))
	}
	return out
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + h.address(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// fleet is a small deployment: hosts, runners and the store.
type fleet struct {
	record  *record
	dir     string
	daemon  string
	store   *store
	address string // of the store
	perZone int    // hosts in each zone
	hosts   []*host
	servers []*http.Server
}

// newFleet returns a deployment with a store and no hosts, which keeps its files in dir.
func newFleet(daemon, dir string, r *record) (*fleet, error) {
	f := &fleet{record: r, dir: dir, daemon: daemon, store: newStore(), perZone: 2}
	var err error
	f.address, err = f.serve(f.store)
	return f, err
}

// serve serves a stand-in on a loopback address, which it returns.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	f.servers = append(f.servers, srv)
	return l.Addr().String(), nil
}

// freeAddress returns a loopback address on which the ports of a host are free.
func freeAddress() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portCallers, portReadiness, portPeers, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address has the ports free")
}

// startHosts starts the hosts of each zone. The first one of each is a seed.
func (f *fleet) startHosts() error {
	template, err := os.ReadFile("deploy/settings.hujson")
	if err != nil {
		return err
	}
	var seeds []string
	for i := range f.perZone * len(zoneNames) {
		ip, err := freeAddress()
		if err != nil {
			return err
		}
		h := &host{name: fmt.Sprintf("host-%d", i), zone: zoneNames[i%len(zoneNames)], ip: ip, daemon: f.daemon}
		h.settings, h.log = filepath.Join(f.dir, h.name+".hujson"), filepath.Join(f.dir, h.name+".log")
		f.hosts = append(f.hosts, h)
		if i < len(zoneNames) {
			seeds = append(seeds, h.address(portPeers))
		}
	}
	for _, h := range f.hosts {
		text := fill(string(template), &scope{value: f.fields(h, seeds)})
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// fields returns the fields that the platform fills into the settings of a host.
func (f *fleet) fields(h *host, seeds []string) map[string]any {
	zones := map[string]any{}
	for _, z := range zoneNames {
		zones[z] = "region-1"
	}
	return map[string]any{
		"nodeName": h.name, "zone": h.zone, "region": "region-1", "zones": zones, "ipAddress": h.ip, "seedNodes": seeds,
		"listenAddresses": map[string]any{"frontend": h.address(portCallers), "readiness": h.address(portReadiness), "controlPlane": h.address(portPeers)},
		"limits":          map[string]any{"memoryMb": 284, "fileDescriptors": 4100},
		"platform":        map[string]any{"address": f.address},
		"bounds":          bounds,
	}
}

// awaitReady waits until all hosts say that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.hosts {
		for !h.isReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s isn't ready", h.name)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		if ended := h.end(); ended != nil {
			<-ended
		}
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// pageRoute is the route of pages, whose requests may not be repeated.
func pageRoute() map[string]any {
	return map[string]any{"name": "page", "host": "h.example", "pathPrefix": "/page/", "routeKind": "non_idempotent", "service": "web",
		"timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 1}
}

// pageService is the service of pages.
func pageService() map[string]any {
	return map[string]any{"name": "web", "connectionLimit": 100, "healthPath": "/health"}
}

// limits are the operator's limits on what a client sends.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000}

// putConfig writes a configuration with the route of pages alone.
func (f *fleet) putConfig() {
	f.store.put("op/config", map[string]any{"version": 1, "routes": []any{pageRoute()}, "services": []any{pageService()}, "limits": limits})
}

// register writes the entry of a runner of the plain service.
func (f *fleet) register(id, address, zone string) { f.registerAs("web", id, address, zone) }

// registerAs writes the entry of a runner of a service that is no model.
func (f *fleet) registerAs(service, id, address, zone string) {
	f.store.put("servers/"+id, map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": 6,
		"runnerState": "ready", words["coldField"]: 0, "sequenceNumber": 0})
}
