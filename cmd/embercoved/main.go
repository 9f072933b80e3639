// Command embercoved is the daemon of an entry host. It takes requests from callers and
// routes them to endpoints.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/logsink"
	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// stdinPath is the path that stands for standard input.
const stdinPath = "-"

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
	debug.SetMemoryLimit(int64(config.CollectorShare * s.MemoryMegabytes * (1 << 20)))
	sink := logsink.New(os.Stdout, 0)
	defer func() {
		select {
		case <-sink.Close():
		case <-time.After(lastLinesTimeout):
		}
	}()
	log, level, err := newLog(s.LogLevel, sink)
	if err != nil {
		fmt.Fprintf(os.Stderr, "embercoved: log: %v\n", err)
		return exitFailed
	}
	return serve(s, sink, &reloader{path: *path, log: log, level: level, hash: fileHash(*path)})
}

// fileHash returns the hash of a file's content, 0 if it can't be read.
func fileHash(path string) uint64 {
	src, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(src)
}

func readSettings(path string) (*config.Settings, error) {
	src, err := os.ReadFile(path)
	if path == stdinPath {
		src, err = io.ReadAll(os.Stdin)
	}
	if err != nil {
		return nil, err
	}
	return config.ParseSettings(src)
}

// newLog returns a logger that writes JSON lines to a sink that doesn't block.
func newLog(level string, sink *logsink.Sink) (*zap.Logger, zap.AtomicLevel, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, lvl, err
	}
	enc := zap.NewProductionEncoderConfig()
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), sink, lvl)), lvl, nil
}

// lastLinesTimeout is how long the process waits at its end for the last log lines to be written.
const lastLinesTimeout = 200 * time.Millisecond

func serve(s *config.Settings, sink *logsink.Sink, r *reloader) int {
	log := r.log
	hup := notifyHangup()
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	opts := []node.Option{node.WithLog(log), node.WithLogCounter(sink), node.WithOwnProcess()}
	if s.Protocol == config.ProtocolPlatform {
		opts = append(opts, node.WithProtocol(platform.New(s, log, nil)))
	}
	n, err := node.New(s, opts...)
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.apply = n.Reload
	if r.path != stdinPath {
		go r.run(ctx, hup)
	}
	select {
	case err := <-n.Failed():
		log.Error("listener failed", zap.Error(err))
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
