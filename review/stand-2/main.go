// Command stand-2 plays the cases of the second review: it starts the project's daemon as separate
// processes beside stand-ins of the store, the runners and the clients.
//
//	stand-2 CASE DAEMON RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it plays the case without its disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// play is one play of a case.
type play struct {
	fleet   *fleet
	record  *record
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(p *play) (broken bool, err error){
	"gateway-killed":   playGatewayKilled,
	"gateway-frozen":   playGatewayFrozen,
	"unbounded-answer": playUnboundedAnswer,
	"model-name":       playModelName,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE DAEMON RECORD")
		return exitNoRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.logf("can't run: %v", err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(os.Args[2], dir, r)
	if err != nil {
		r.logf("can't run: %v", err)
		return exitNoRun
	}
	defer f.close()
	endInTime(f, dir)
	p := &play{fleet: f, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		r.logf("can't run: %v", err)
		return exitNoRun
	case broken:
		r.logf("the rule was broken")
		return exitBroken
	}
	r.logf("the rule held")
	return exitHeld
}

// maxTime bounds a play.
const maxTime = 110 * time.Second

// endInTime ends all processes and the play itself if it takes too long or is told to end.
func endInTime(f *fleet, dir string) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-told:
			f.record.logf("can't run: %v", s)
		case <-time.After(maxTime):
			f.record.logf("can't run: not done after %v", maxTime)
		}
		f.close()
		os.RemoveAll(dir)
		os.Exit(exitNoRun)
	}()
}

// settle is how long the deployment runs before the clients come.
const settle = 6 * time.Second

// start starts the hosts and waits until they are ready and have met each other.
func (p *play) start() error {
	if err := p.fleet.startHosts(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := p.fleet.awaitReady(ctx); err != nil {
		return err
	}
	p.record.logf("all hosts are ready")
	time.Sleep(settle)
	return nil
}
