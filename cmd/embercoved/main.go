// Command embercoved is the daemon of an entry host.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/node"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// memoryLimit keeps the collector's target well inside a small host.
const memoryLimit = 512 << 20

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "file with the settings, JSON with comments; - reads standard input")
	check := flag.Bool("check", false, "check the settings and end")
	flag.Usage = func() {
		fmt.Fprintf(flag.CommandLine.Output(), "usage: embercoved -settings FILE [-check]\n\nThe daemon of an entry host. SIGTERM is a planned stop: it drains.\n\n")
		flag.PrintDefaults()
		fmt.Fprintf(flag.CommandLine.Output(), "\nExample:\n  embercoved -settings host.hujson\n\nExit codes: 0 stopped as planned, 1 failed, 2 wrong usage or settings.\n")
	}
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	s, err := readSettings(*path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "embercoved: %s:\n%v\n", *path, err)
		return exitUsage
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetMemoryLimit(memoryLimit)
	log, err := newLog(s.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "embercoved: log: %v\n", err)
		return exitFailed
	}
	return serve(s, log)
}

func readSettings(path string) (*config.Settings, error) {
	src, err := os.ReadFile(path)
	if path == "-" {
		src, err = io.ReadAll(os.Stdin)
	}
	if err != nil {
		return nil, err
	}
	return config.ParseSettings(src)
}

// newLog returns a logger of JSON lines on standard error.
func newLog(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	cfg.Level = lvl
	return cfg.Build()
}

func serve(s *config.Settings, log *zap.Logger) int {
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	n, err := node.New(s, node.WithLog(log))
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		log.Error("did not start", zap.Error(err))
		return exitFailed
	}
	select {
	case err := <-n.Failed():
		log.Error("a listener broke", zap.Error(err))
		n.Stop()
		return exitFailed
	case <-stop:
	}
	if left := n.Drain(); left > 0 {
		log.Error("requests were cut off", zap.Int("requests", left))
		return exitFailed
	}
	log.Info("stopped")
	return exitOK
}
