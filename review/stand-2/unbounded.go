package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case unbounded-answer: a client sets no bound on its answer and says so by the largest number that
// fits 64 bits, and sends the request once more, to another host of its zone, if it gets no answer. Other clients ask for pages meanwhile, over connections that they keep.

const (
	pageClients = 6 // of each host
	// unboundedTokens is the most out of the request without a bound, and boundedTokens that of an
	// ordinary one.
	unboundedTokens = "9223372036854775807"
	boundedTokens   = "10710"
	// pagesBefore and pagesAfter are how long the others ask before and after the request.
	pagesBefore = 2 * time.Second
	pagesAfter  = 3 * time.Second
	// maxClosed is how many connections may be closed without an answer.
	maxClosed = 3
)

// pageClient asks a host for one page after the other over a kept connection.
type pageClient struct {
	play    *play
	host    *host
	name    string
	runners []*pageRunner
	closed  *atomic.Int64 // requests that were passed on and whose connections ended without an answer
}

// run asks until stop is closed.
func (c *pageClient) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		attempt := fmt.Sprintf("%s-%d", c.name, i)
		status, err := c.ask(client, attempt)
		if err == nil {
			continue
		}
		for _, r := range c.runners {
			if how := r.runOf(attempt); how != "" && i > 0 {
				c.closed.Add(1)
				c.play.record.logf("request %s over a kept connection to %s was passed on to %s (%s) and its connection ended without an answer: status %d, %v", attempt, c.host.name, r.id, how, status, err)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *pageClient) ask(client *http.Client, attempt string) (status int, err error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+c.host.address(portCallers)+"/page/1", strings.NewReader("order"))
	if err != nil {
		return 0, err
	}
	q.GetBody = nil // nothing is sent again
	q.Host = "h.example"
	q.Header.Set(words["attempt"], attempt)
	q.Header.Set(words["deadline"], "3000")
	res, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// addModelRunners registers a prefill runner and a decode runner of the model in each zone.
func (p *play) addModelRunners() error {
	for i, zone := range zoneNames {
		for _, stage := range []string{"prefill", "decode"} {
			m := &modelRunner{id: fmt.Sprintf("i-%s-%d", stage, i), stage: stage, play: p, runs: map[string]*modelRun{}, beforeAnswer: func(string) {}}
			var err error
			if m.address, err = p.fleet.serve(m); err != nil {
				return err
			}
			p.fleet.registerModel(m, zone)
		}
	}
	return nil
}

func playUnboundedAnswer(p *play) (broken bool, err error) {
	runners, err := p.addPageRunners(pageWork)
	if err != nil {
		return false, err
	}
	if err := p.addModelRunners(); err != nil {
		return false, err
	}
	p.fleet.putModelConfig()
	if err := p.start(); err != nil {
		return false, err
	}
	var closed atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, h := range p.fleet.hosts {
		for i := range pageClients {
			c := &pageClient{play: p, host: h, name: fmt.Sprintf("%s-page-%d", h.name, i), runners: runners, closed: &closed}
			clients.Go(func() { c.run(stop) })
		}
	}
	time.Sleep(pagesBefore)
	mostOut := boundedTokens
	if p.trouble {
		mostOut = unboundedTokens
	}
	for i, h := range []*host{p.fleet.hosts[0], p.fleet.hosts[len(zoneNames)]} {
		attempt := fmt.Sprintf("stream-%d", i)
		p.record.logf("client: request %s is sent to %s, with %s tokens out at the most", attempt, h.name, mostOut)
		events, whole, err := p.stream(context.Background(), h.address(portCallers), attempt, mostOut)
		p.record.logf("client: request %s ends with %d events, whole %v, error %v", attempt, events, whole, err)
		if err == nil {
			break
		}
	}
	time.Sleep(pagesAfter)
	for _, other := range p.fleet.hosts {
		select {
		case <-other.end():
			p.record.logf("the process of %s has ended by itself: %q", other.name, other.logLines("panic: "))
		default:
		}
	}
	close(stop)
	clients.Wait()
	n := closed.Load()
	p.record.logf("%d requests were passed on to sound runners from kept connections that then ended without an answer", n)
	if n > maxClosed {
		p.record.logf("LOST: that is more than %d", maxClosed)
	}
	return n > maxClosed, nil
}
