package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case gateway-killed: a runner sends an answer without a length, which ends with its connection. The
// first packet of the host's connection to the runner is lost, so that the host is connected by way of
// another host. That one is killed in the middle of the answer.

const (
	// halfPause is from the first half of an answer to the second.
	halfPause = 700 * time.Millisecond
	// killAfter is from the head of an answer to the kill.
	killAfter = 200 * time.Millisecond
	// maxTries is how many requests are sent until one is passed on by another host.
	maxTries              = 12
	firstHalf, secondHalf = "the first half of the page;", " the second half of the page"
)

// heldFor is how long a runner's queue of new connections stays full, so that one opening packet is dropped:
// shorter than a host waits before it asks another one. Later tries hold it for other times, as the host's
// packet may come later on a busy machine.
var heldFor = []time.Duration{12 * time.Millisecond, 16 * time.Millisecond, 9 * time.Millisecond, 20 * time.Millisecond}

// lossyListener is a listener that can drop the opening packets of new connections for a moment, as a
// lossy link does: its queue of new connections is full then.
type lossyListener struct {
	*net.TCPListener
	accepting sync.Mutex
}

func newLossyListener() (*lossyListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &lossyListener{TCPListener: l.(*net.TCPListener)}, nil
}

// acceptSlice is how long an attempt to accept a connection lasts.
const acceptSlice = 2 * time.Millisecond

// Accept implements net.Listener.
func (l *lossyListener) Accept() (net.Conn, error) {
	for {
		l.accepting.Lock()
		_ = l.SetDeadline(time.Now().Add(acceptSlice))
		conn, err := l.TCPListener.Accept()
		l.accepting.Unlock()
		if !os.IsTimeout(err) {
			return conn, err
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// drop drops the opening packets of new connections while f runs, and for the time held after it.
func (l *lossyListener) drop(held time.Duration, f func()) error {
	l.accepting.Lock()
	defer l.accepting.Unlock()
	filler, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
	if err != nil {
		return err
	}
	defer filler.Close()
	f()
	time.Sleep(held)
	return nil
}

// unframedRunner is a stand-in for a runner of the plain service whose answers have no length.
type unframedRunner struct {
	id       string
	record   *record
	listener *lossyListener

	mu    sync.Mutex
	began map[string]time.Time // when the first half of an answer was sent, by attempt
}

func (u *unframedRunner) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

func (u *unframedRunner) serveConn(conn net.Conn) {
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	attempt := q.Header.Get(words["attempt"])
	if want := q.Header.Get(words["expected"]); want != "" && want != u.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", words["attempt"], attempt)
		return
	}
	u.record.logf("runner %s runs request %s", u.id, attempt)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", words["attempt"], attempt, words["signature"], u.id, firstHalf)
	u.mu.Lock()
	u.began[attempt] = time.Now()
	u.mu.Unlock()
	time.Sleep(halfPause)
	_, err = io.WriteString(conn, secondHalf)
	u.record.logf("runner %s has sent the whole answer to %s, error %v", u.id, attempt, err)
}

// hasBegun reports whether the runner has sent the first half of an answer.
func (u *unframedRunner) hasBegun(attempt string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.began[attempt].IsZero()
}

// gatewayOf returns the host that passes on the connection of a request, by the log of the host that
// received it; nil: none.
func (p *play) gatewayOf(h *host, attempt string) *host {
	for _, line := range h.logLines("connected by way of another host", attempt) {
		var fields struct {
			Gateway string `json:"gateway"`
		}
		if json.Unmarshal([]byte(line), &fields) != nil {
			continue
		}
		for _, other := range p.fleet.hosts {
			if other.name == fields.Gateway {
				return other
			}
		}
	}
	return nil
}

// get is a client that sends one request for a page and reads the answer.
func (p *play) get(address, attempt string) (status int, body, signature string, err error) {
	return p.post(address, "/page/1", attempt)
}

// post is a client that sends one request to a path and reads the answer.
func (p *play) post(address, path, attempt string) (status int, body, signature string, err error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("order"))
	if err != nil {
		return 0, "", "", err
	}
	q.Host = "h.example"
	q.Header.Set(words["attempt"], attempt)
	q.Header.Set(words["deadline"], "3000")
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(q)
	if err != nil {
		return 0, "", "", err
	}
	defer res.Body.Close()
	src, err := io.ReadAll(res.Body)
	return res.StatusCode, string(src), res.Header.Get(words["signature"]), err
}

func playGatewayKilled(p *play) (broken bool, err error) {
	l, err := newLossyListener()
	if err != nil {
		return false, err
	}
	defer l.Close()
	u := &unframedRunner{id: "i-web-0", record: p.record, listener: l, began: map[string]time.Time{}}
	go u.serve()
	p.fleet.register(u.id, l.Addr().String(), zoneNames[1]) // the links between zones lose packets
	p.fleet.perZone = 4
	p.fleet.putConfig()
	if err := p.start(); err != nil {
		return false, err
	}
	h := p.fleet.hosts[0]
	for i := range maxTries {
		wrong, viaOther, err := p.tryGateway(h, u, fmt.Sprintf("page-%d", i), heldFor[i%len(heldFor)])
		if err != nil || wrong {
			return wrong, err
		}
		if viaOther && p.trouble {
			return false, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	if p.trouble {
		return false, fmt.Errorf("no request was passed on by another host")
	}
	return false, nil
}

// tryGateway sends one request. With trouble, opening packets are lost for the time held, and the host that passes
// it on is killed in the middle of the answer.
func (p *play) tryGateway(h *host, u *unframedRunner, attempt string, held time.Duration) (wrong, viaOther bool, err error) {
	type answer struct {
		status          int
		body, signature string
		err             error
	}
	answered := make(chan answer, 1)
	send := func() {
		p.record.logf("client: request %s is sent to %s", attempt, h.name)
		go func() {
			var a answer
			a.status, a.body, a.signature, a.err = p.get(h.address(portCallers), attempt)
			answered <- a
		}()
	}
	if p.trouble {
		err = u.listener.drop(held, send)
	} else {
		send()
	}
	if err != nil {
		return false, false, err
	}
	for end := time.Now().Add(2 * time.Second); !u.hasBegun(attempt) && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(killAfter)
	gateway := p.gatewayOf(h, attempt)
	if gateway != nil {
		p.record.logf("%s is connected to the runner by way of %s for request %s", h.name, gateway.name, attempt)
	}
	if gateway != nil && p.trouble {
		p.record.logf("SIGKILL to %s", gateway.name)
		gateway.signal(syscall.SIGKILL)
	}
	a := <-answered
	p.record.logf("client: request %s ends with status %d, signature %q, body %q, error %v", attempt, a.status, a.signature, a.body, a.err)
	if a.err == nil && a.status == http.StatusOK && a.body != firstHalf+secondHalf {
		p.record.logf("MIXED: request %s got a success that looks complete and isn't the runner's whole body", attempt)
		return true, gateway != nil, nil
	}
	return false, gateway != nil, nil
}
