package stand

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// Main runs a case and exits with its result. A case plays the disruption if trouble is set.
func Main(name string, play func(f *Fleet, r *Record, trouble bool) (broken bool, err error)) {
	os.Exit(run(name, play))
}

func run(name string, play func(f *Fleet, r *Record, trouble bool) (broken bool, err error)) int {
	r, err := NewRecord(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.Printf("case %s, with the disruption: %v", name, trouble)
	f, err := NewFleet(r)
	if err != nil {
		r.Printf("not run: %v", err)
		return ExitNotRun
	}
	defer f.Close()
	broken, err := playUntil(f, r, trouble, play)
	switch {
	case err != nil:
		r.Printf("not run: %v", err)
		return ExitNotRun
	case broken:
		r.Printf("THE RULE IS BROKEN")
		return ExitBroken
	}
	r.Printf("the rule held")
	return ExitHeld
}

// playUntil plays a case until it ends, is ended by a signal, or takes too long.
func playUntil(f *Fleet, r *Record, trouble bool, play func(f *Fleet, r *Record, trouble bool) (broken bool, err error)) (broken bool, err error) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = play(f, r, trouble)
	}()
	select {
	case <-done:
		return broken, err
	case <-stop:
		return false, errors.New("ended by a signal")
	case <-time.After(timeLimit):
		return false, errors.New("it took too long")
	}
}
