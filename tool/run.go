package tool

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/load"
)

// demo runs a deployment on stand-ins inside this process.
func (t *tool) demo(fs *flag.FlagSet, args []string) error {
	deployment := fs.String("deployment", "domaskra", "domaskra or paranacor")
	seconds := fs.Int("seconds", 8, "how long load is sent")
	factor := fs.Float64("factor", 0.5, "load, as a share of the pools' capacity")
	asJSON := fs.Bool("json", false, "print JSON for programs")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	if err := checkRunFlags(*deployment, *factor); err != nil {
		return err
	}
	const demoHosts = 3
	fmt.Fprintf(t.err, "starting a platform, the runners and services of %s, and %d entry hosts, all stand-ins on loopback\n", *deployment, demoHosts)
	r := load.Run{Deployment: *deployment, Mode: config.ModeOwner, Factor: *factor, Span: time.Duration(*seconds) * time.Second, Seed: 1,
		Hosts: demoHosts, LagMillis: load.DefaultLag, Progress: t.printProgress}
	rep, _, err := r.Do(context.Background())
	if err != nil {
		return err
	}
	rep.Name = "demo of " + *deployment
	return t.printReport(rep, *asJSON)
}

func checkRunFlags(deployment string, factor float64) error {
	if examples.Document(deployment) == nil {
		return usageError(fmt.Sprintf("-deployment %q: want one of %s", deployment, strings.Join(examples.Names, ", ")))
	}
	if factor <= 0 || factor > 10 {
		return usageError(fmt.Sprintf("-factor %g: want more than 0 and at most 10", factor))
	}
	return nil
}

func (t *tool) printProgress(done, started int) {
	fmt.Fprintf(t.err, "  sent %d, ended %d\n", started, done)
}

// printReport prints the report of a run. It fails the command if answers were wrong or broken.
func (t *tool) printReport(report load.Report, asJSON bool) error {
	if asJSON {
		if err := t.printJSON(report); err != nil {
			return err
		}
	} else {
		fmt.Fprint(t.out, report.Text())
	}
	if report.Wrong > 0 {
		return errFailed
	}
	return nil
}

// load sends load to running hosts, or to a deployment on stand-ins in this process.
func (t *tool) load(fs *flag.FlagSet, args []string) error {
	callers := fs.String("callers", "", "caller addresses of hosts, IP:port, separated by commas")
	standins := fs.Bool("standins", false, "run the deployment on stand-ins in this process")
	deployment := fs.String("deployment", "domaskra", "whose mix: domaskra or paranacor")
	mode := fs.String("mode", "owner", "policy, with -standins")
	factor := fs.Float64("factor", 1, "load, as a share of the capacity of the deployment's pools")
	span := fs.Duration("span", 20*time.Second, "how long load is sent")
	leaving := fs.Float64("leaving", 0.1, "share of callers that leave during prefill")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	logPath := fs.String("log", "", "file for the hosts' log lines, with -standins")
	asJSON := fs.Bool("json", false, "print JSON for programs")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	if err := checkRunFlags(*deployment, *factor); err != nil {
		return err
	}
	if *standins {
		log, err := logFile(*logPath)
		if err != nil {
			return err
		}
		r := load.Run{Deployment: *deployment, Mode: config.PolicyMode(*mode), Factor: *factor, Span: *span, Leaving: *leaving, Seed: *seed,
			LagMillis: load.DefaultLag, Progress: t.printProgress, Log: log}
		rep, _, err := r.Do(context.Background())
		if err != nil {
			return err
		}
		return t.printReport(rep, *asJSON)
	}
	if *callers == "" {
		return usageError("name -callers, or use -standins")
	}
	d, err := config.ParseDocument(examples.Document(*deployment))
	if err != nil {
		return err
	}
	mix := load.Mixes[*deployment]
	s := load.Sender{Addresses: strings.Split(*callers, ","), Model: mix.Model, Progress: t.printProgress}
	rs := s.Send(context.Background(), mix.Arrivals(*seed, *factor*mix.Capacity(d).Rate, *span, *leaving))
	return t.printReport(load.Summarize("load on "+*callers, rs, nil, d.Targets, *span), *asJSON)
}

// logFile returns a logger that writes JSON lines to a file, or nil if path is empty.
func logFile(path string) (*zap.Logger, error) {
	if path == "" {
		return nil, nil
	}
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.OutputPaths = []string{path}
	return cfg.Build()
}

// bench reruns the table of docs/RESULTS.md.
func (t *tool) bench(fs *flag.FlagSet, args []string) error {
	deployment := fs.String("deployment", "", "domaskra or paranacor; empty: both")
	span := fs.Duration("span", 20*time.Second, "how long load is sent in each run")
	loads := fs.String("loads", "0.7,1,1.3,2", "loads, as shares of the pools' capacity")
	modes := fs.String("modes", "owner,least_load,fixed_share,dispatcher,random,round_robin,two_choices", "policies")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	parallel := fs.Int("beside", 3, "runs at the same time")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	deployments := examples.Names
	if *deployment != "" {
		if err := checkRunFlags(*deployment, 1); err != nil {
			return err
		}
		deployments = []string{*deployment}
	}
	rows, err := load.Table{Deployments: deployments, Loads: *loads, Modes: *modes, Span: *span, Seed: *seed, Parallel: *parallel,
		Progress: func(line string) { fmt.Fprintln(t.err, line) }}.Do(context.Background())
	if err != nil {
		return usageError(err.Error())
	}
	fmt.Fprint(t.out, load.Markdown(rows))
	return nil
}
