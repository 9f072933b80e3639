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

// checkInterval is how often the settings file is read to detect changes made without a SIGHUP.
const checkInterval = 2 * time.Second

// reloader reloads the settings file on SIGHUP, and also when its content has changed
// without a signal.
type reloader struct {
	path  string
	log   *zap.Logger
	level zap.AtomicLevel
	apply func(s *config.Settings) (later []string)
	hash  uint64
}

// run reloads the settings until ctx ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// notifyHangup returns a channel that receives SIGHUPs. Once it has been called, a SIGHUP no
// longer ends the process.
func notifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// reload applies the settings of the file if they are valid; otherwise the current ones
// stay in force. After a signal it logs the result even if nothing has changed or the file
// can't be read.
func (r *reloader) reload(signaled bool) {
	src, err := os.ReadFile(r.path)
	if err != nil {
		if signaled {
			r.log.Error("settings not reloaded", zap.Error(err))
		}
		return
	}
	hash := xxhash.Sum64(src)
	if hash == r.hash {
		if signaled {
			r.log.Info("settings reloaded, unchanged")
		}
		return
	}
	r.hash = hash
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
