package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/embercove/embercove/config"
)

// settingsText returns valid settings with the given retry_budget.extra.
func settingsText(extra string) string {
	return `{"host": "h", "failure_domain": "d", "region": "r", "callers_address": "127.0.0.1:1", "peers_address": "127.0.0.1:2",
	"admin_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4", "retry_budget": {"share": 0.2, "window_s": 10, "extra": ` + extra + `}}`
}

// TestReload changes the settings file in several ways. A SIGHUP, which ends a process that
// doesn't handle it, must not do so, and invalid settings must not replace those in force.
func TestReload(t *testing.T) {
	cases := []struct {
		name, text string
		signal     bool // a SIGHUP follows the change
		message    string
		applied    int
	}{
		{"unchanged", settingsText("56"), true, "settings reloaded, unchanged", 0},
		{"changed", settingsText("57"), true, "settings reloaded", 1},
		{"changed without a signal", settingsText("58"), false, "settings reloaded", 1},
		{"faulty", `{"host": 3}`, true, "settings not reloaded; those in force stay", 0},
		{"gone", "", true, "settings not reloaded", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "host.hujson")
			writeFile(t, path, settingsText("56"))
			core, seen := observer.New(zapcore.InfoLevel)
			applied := make(chan *config.Settings, 4)
			r := &reloader{path: path, log: zap.New(core), level: zap.NewAtomicLevel(), hash: fileHash(path),
				apply: func(s *config.Settings) []string { applied <- s; return nil }}
			writeFile(t, path, tc.text)
			if !tc.signal {
				r.reload(false)
			} else {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go r.run(ctx, notifyHangup())
				if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
			}
			for seen.Len() == 0 {
				time.Sleep(time.Millisecond)
			}
			if m := seen.All()[0].Message; !strings.HasPrefix(m, tc.message) {
				t.Errorf("logged %q, want %q", m, tc.message)
			}
			if len(applied) != tc.applied {
				t.Errorf("%d settings applied, want %d", len(applied), tc.applied)
			}
		})
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if text == "" {
		os.Remove(path)
		return
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
