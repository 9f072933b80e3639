package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
)

// lookEvery is how often the settings file is read for silent changes.
const lookEvery = 2 * time.Second

// reloader reads the settings file anew at a SIGHUP and when its content has
// changed without one.
type reloader struct {
	path  string
	log   *zap.Logger
	level zap.AtomicLevel
	apply func(s *config.Settings) (later []string)
	sum   uint64
}

// run returns when ctx ends. Once it has begun, a SIGHUP ends no process.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload(true)
		case <-look.C:
			r.reload(false)
		}
	}
}

// notify delivers SIGHUPs from now on.
func notify() <-chan os.Signal {
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// reload takes the file's settings over if they are valid; else those in force
// stay. asked has it logged even if nothing changed.
func (r *reloader) reload(asked bool) {
	src, err := os.ReadFile(r.path)
	if err != nil {
		if asked {
			r.log.Error("settings not reloaded", zap.Error(err))
		}
		return
	}
	sum := xxhash.Sum64(src)
	if sum == r.sum {
		if asked {
			r.log.Info("settings reloaded, unchanged")
		}
		return
	}
	r.sum = sum
	s, err := config.ParseSettings(src)
	if err != nil {
		r.log.Error("settings not reloaded; those in force stay", zap.Error(err))
		return
	}
	if lvl, err := zap.ParseAtomicLevel(s.LogLevel); err == nil {
		r.level.SetLevel(lvl.Level())
	}
	r.log.Info("settings reloaded", zap.Strings("in_force_after_restart", r.apply(s)))
}
