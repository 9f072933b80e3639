package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case slow-upload: a host is stopped as planned while bodies of requests are still arriving.

const (
	// settle is how long the deployment runs before the clients come.
	settle = 6 * time.Second
	// pageWork is the work of a page at its runner, within the largest of the users' sheet.
	pageWork = 400 * time.Millisecond
	// uploadBytes is the size of a body.
	uploadBytes = 600
	// uploadFor is how long a body takes to arrive.
	uploadFor = 1050 * time.Millisecond
	// uploads is how many clients upload at a time.
	uploads = 3
	// firstUpload is from SIGTERM to the clients' connections: the platform still sends some then, as it
	// asks once a second and takes a host out after two misses.
	firstUpload = 1700 * time.Millisecond
)

// pageRunner is a stand-in for a runner of the plain service.
type pageRunner struct {
	id     string
	record *record
	work   time.Duration

	mu   sync.Mutex
	runs map[string]string // by attempt, how the run ended
}

// ServeHTTP implements http.Handler.
func (p *pageRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	attempt := q.Header.Get(words["attempt"])
	w.Header().Set(words["attempt"], attempt)
	if want := q.Header.Get(words["expected"]); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return
	}
	p.record.logf("runner %s runs request %s, body of %d bytes", p.id, attempt, len(body))
	p.setRun(attempt, "running")
	select {
	case <-time.After(p.work):
	case <-q.Context().Done():
		p.record.logf("runner %s: the connection of request %s is closed while it works", p.id, attempt)
		p.setRun(attempt, "dropped")
		return
	}
	p.setRun(attempt, "done")
	w.Header().Set(words["signature"], "sig."+p.id)
	_, _ = io.WriteString(w, "page of "+attempt)
}

func (p *pageRunner) setRun(attempt, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[attempt] = how
}

func (p *pageRunner) runOf(attempt string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[attempt]
}

// addPageRunners registers a runner of the plain service in each zone.
func (p *play) addPageRunners(work time.Duration) ([]*pageRunner, error) {
	var out []*pageRunner
	for i, zone := range zoneNames {
		r := &pageRunner{id: fmt.Sprintf("i-web-%d", i), record: p.record, work: work, runs: map[string]string{}}
		address, err := p.fleet.serve(r)
		if err != nil {
			return nil, err
		}
		p.fleet.register(r.id, address, zone)
		out = append(out, r)
	}
	return out, nil
}

// upload is a client that sends one page request, whose body arrives in pieces over some time.
type upload struct {
	attempt  string
	wholeAt  time.Time // when its last byte was sent
	status   int       // 0: no answer
	body     string
	complete bool
	err      error
}

// send sends the request over a connection of its own and reads the answer.
func (u *upload) send(address string, over time.Duration) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		u.err = err
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("POST /page/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 3000\r\nContent-Length: %d\r\n\r\n", words["attempt"], u.attempt, words["deadline"], uploadBytes)
	if _, u.err = io.WriteString(conn, head); u.err != nil {
		return
	}
	const pieces = 6
	piece := make([]byte, uploadBytes/pieces)
	for i := range piece {
		piece[i] = 'x'
	}
	for i := range pieces {
		if i > 0 {
			time.Sleep(over / (pieces - 1))
		}
		if _, u.err = conn.Write(piece); u.err != nil {
			return
		}
	}
	u.wholeAt = time.Now()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		u.err = err
		return
	}
	defer res.Body.Close()
	src, err := io.ReadAll(res.Body)
	u.status, u.body, u.complete, u.err = res.StatusCode, string(src), err == nil, err
}

func playSlowUpload(p *play) (broken bool, err error) {
	runners, err := p.addPageRunners(pageWork)
	if err != nil {
		return false, err
	}
	p.fleet.putConfig()
	if err := p.start(); err != nil {
		return false, err
	}
	h := p.fleet.hosts[0]
	if p.trouble {
		p.record.logf("SIGTERM to %s; SIGKILL would come %v s later", h.name, bounds["gracePeriodS"])
		h.signal(syscall.SIGTERM)
	}
	began := time.Now()
	var wg sync.WaitGroup
	sent := make([]*upload, uploads)
	for i := range sent {
		u := &upload{attempt: fmt.Sprintf("upload-%d", i)}
		sent[i] = u
		wg.Go(func() {
			time.Sleep(firstUpload)
			p.record.logf("client: request %s is sent to %s, its body within %v", u.attempt, h.name, uploadFor)
			u.send(h.address(portCallers), uploadFor)
			p.record.logf("client: request %s ends with status %d, whole %v, body %q, error %v", u.attempt, u.status, u.complete, u.body, u.err)
		})
	}
	wg.Wait()
	if p.trouble {
		select {
		case <-h.end():
			p.record.logf("the process of %s has ended by itself, %.2f s after SIGTERM at the latest", h.name, time.Since(began).Seconds())
		case <-time.After(10 * time.Second):
		}
	}
	lost := 0
	for _, u := range sent {
		ran := ""
		for _, r := range runners {
			if how := r.runOf(u.attempt); how != "" {
				ran = r.id + ", " + how
			}
		}
		if ran != "" && !u.complete && !u.wholeAt.IsZero() {
			lost++
			p.record.logf("LOST: request %s was read whole %.2f s after SIGTERM and passed on (%s), and its connection ended without a complete answer", u.attempt, u.wholeAt.Sub(began).Seconds(), ran)
		}
	}
	p.record.logf("%d of %d requests lost", lost, len(sent))
	return lost > 0, nil
}
