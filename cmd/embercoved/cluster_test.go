package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/publish"
)

// waitLimit bounds every wait of these tests. It isn't a performance bound: whether a
// wait takes one second or twenty, the verdict is the same.
const waitLimit = 40 * time.Second

var (
	buildOnce sync.Once
	binDir    string
	buildErr  error
)

// binaries builds the programs on the first call and returns their folder.
func binaries(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		if binDir, buildErr = os.MkdirTemp("", "embercove"); buildErr != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", binDir+"/", "./cmd/...")
		cmd.Dir = "../.."
		if out, err := cmd.CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return binDir
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binDir != "" {
		os.RemoveAll(binDir)
	}
	os.Exit(code)
}

// process is a program that a test has started, with its output.
type process struct {
	*exec.Cmd
	out  *bytes.Buffer
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.Process.Signal(s) }

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// cluster is a deployment in which every host, endpoint and the platform is a process.
type cluster struct {
	t         *testing.T
	dir       string
	doc       *config.Document
	platform  string
	hosts     []*process
	settings  []*config.Settings
	endpoints map[string]*process
}

func (c *cluster) start(program string, args ...string) *process {
	c.t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(binaries(c.t), program), args...), out: new(bytes.Buffer), done: make(chan struct{})}
	p.Stdout, p.Stderr = p.out, p.out
	if err := p.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_ = p.Wait()
		close(p.done)
	}()
	c.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if c.t.Failed() {
			b := p.out.Bytes()
			c.t.Logf("%s %v:\n%s", program, args, b[max(0, len(b)-3000):])
		}
	})
	return p
}

// freePorts returns loopback addresses that were free a moment ago. They aren't on
// 127.0.0.1, where any outgoing connection may take a port before the process listens.
func freePorts(t *testing.T, n int) []string {
	var out []string
	var listeners []net.Listener
	anyPort := fake.LoopbackHost() + ":0"
	for range n {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	return out
}

// TestFreePorts checks that a process can listen on an address of freePorts even if the
// same port of 127.0.0.1 has been taken meanwhile.
func TestFreePorts(t *testing.T) {
	for _, addr := range freePorts(t, 5) {
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if taken, err := net.Listen("tcp", "127.0.0.1:"+port); err == nil {
			defer taken.Close()
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatalf("%s was taken: %v", addr, err)
		}
		l.Close()
	}
}

// startCluster starts a platform, the endpoints of the deployment and n hosts, and waits
// until the hosts are ready.
func startCluster(t *testing.T, n int, change func(d *config.Document)) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), endpoints: map[string]*process{}}
	var err error
	if c.doc, err = config.ParseDocument(examples.Domaskra); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(c.doc)
	}
	ports := freePorts(t, 1+len(c.doc.Endpoints)+3*n)
	c.platform, ports = ports[0], ports[1:]
	for i := range c.doc.Endpoints {
		c.doc.Endpoints[i].Address = ports[i]
	}
	ports = ports[len(c.doc.Endpoints):]
	docFile := c.writeJSON("document.json", c.doc)
	var list []publish.Host
	for i := range n {
		d := c.doc.Domains[i%len(c.doc.Domains)]
		s := &config.Settings{Host: fmt.Sprintf("%s-%d", d.Name, i), Domain: d.Name, Region: d.Region, Callers: ports[3*i], Peers: ports[3*i+1],
			Admin: ports[3*i+2], Platform: c.platform}
		c.settings = append(c.settings, s)
		list = append(list, publish.Host{Name: s.Host, Domain: s.Domain, Region: s.Region, Peers: s.Peers})
	}
	for _, s := range c.settings {
		for _, o := range c.settings {
			if o != s {
				s.Seeds = append(s.Seeds, o.Peers)
			}
		}
	}
	c.start("embercove-fake", "platform", "-listen", c.platform, "-document", docFile, "-hosts", c.writeJSON("hosts.json", list))
	for _, e := range c.doc.Endpoints {
		c.startEndpoint(e)
	}
	for i := range n {
		c.hosts = append(c.hosts, c.startHost(i))
	}
	for i := range n {
		c.waitReady(i)
	}
	return c
}

func (c *cluster) startEndpoint(e config.Endpoint) {
	if e.Role == config.Service {
		c.endpoints[e.Name] = c.start("embercove-fake", "app", "-listen", e.Address, "-name", e.Name)
		return
	}
	c.endpoints[e.Name] = c.start("embercove-fake", "runner", "-listen", e.Address, "-document", filepath.Join(c.dir, "document.json"), "-endpoint", e.Name)
}

func (c *cluster) startHost(i int) *process {
	return c.start("embercoved", "-settings", c.writeJSON(fmt.Sprintf("host%d.json", i), c.settings[i]))
}

func (c *cluster) writeJSON(name string, v any) string {
	c.t.Helper()
	src, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, src, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// eventually waits until f returns "". Before that f returns what is still missing.
func (c *cluster) eventually(f func() string) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	missing := f()
	for missing != "" && time.Now().Before(deadline) {
		time.Sleep(25 * time.Millisecond)
		missing = f()
	}
	if missing != "" {
		c.t.Fatal(missing)
	}
}

// waitReady waits until host i has a configuration and a digest of every endpoint.
func (c *cluster) waitReady(i int) {
	c.t.Helper()
	c.eventually(func() string {
		s, err := c.status(i)
		if err != nil {
			return err.Error()
		}
		if s.Config.Revision == 0 {
			return "no revision yet"
		}
		for _, e := range s.Endpoints {
			if e.DigestAgeSeconds < 0 {
				return "no digest of " + e.Endpoint
			}
		}
		return ""
	})
}

func (c *cluster) status(i int) (s node.Status, err error) {
	return s, getJSON(c.settings[i].Admin, node.PathStatus, &s)
}

func getJSON(addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", addr, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// control posts v to a control path of a stand-in.
func control(t *testing.T, addr, path string, v any) {
	t.Helper()
	body, _ := json.Marshal(v)
	res, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("%s%s: %s", addr, path, res.Status)
	}
}

// records returns what the stand-ins that answer have recorded about the calls they got.
func (c *cluster) records() []fake.Record {
	var out []fake.Record
	for _, e := range c.doc.Endpoints {
		var rs []fake.Record
		if getJSON(e.Address, "/control/truth", &rs) == nil {
			out = append(out, rs...)
		}
	}
	return out
}

// heldAttempts returns the number of attempts that hold memory at the runners that answer.
func (c *cluster) heldAttempts() int {
	n := 0
	for _, e := range c.doc.Endpoints {
		var l endpoint.RunningList
		if getJSON(e.Address, endpoint.PathRequests, &l) == nil {
			n += len(l.Requests)
		}
	}
	return n
}

func (c *cluster) callers() []string {
	var out []string
	for _, s := range c.settings {
		out = append(out, s.Callers)
	}
	return out
}

// send sends arrivals to the hosts, for the model of Dómaskrá's mix.
func (c *cluster) send(arrivals []load.Arrival) []load.Result {
	s := load.Sender{Addresses: c.callers(), Model: load.Mixes["domaskra"].Model}
	return s.Send(context.Background(), arrivals)
}
