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
	dep := fs.String("deployment", "domaskra", "domaskra or paranacor")
	seconds := fs.Int("seconds", 8, "how long load is sent")
	factor := fs.Float64("factor", 0.5, "load, as a share of the pools' capacity")
	asJSON := fs.Bool("json", false, "print JSON for programs")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	if err := checkRun(*dep, *factor); err != nil {
		return err
	}
	const demoHosts = 3
	fmt.Fprintf(t.err, "starting a platform, the runners and services of %s, and %d entry hosts, all stand-ins on loopback\n", *dep, demoHosts)
	r := load.Run{Deployment: *dep, Mode: config.ModeOwner, Factor: *factor, Span: time.Duration(*seconds) * time.Second, Seed: 1,
		Hosts: demoHosts, LagMillis: load.DefaultLag, Progress: t.progress}
	rep, _, err := r.Do(context.Background())
	if err != nil {
		return err
	}
	rep.Name = "demo of " + *dep
	return t.report(rep, *asJSON)
}

func checkRun(dep string, factor float64) error {
	if examples.Document(dep) == nil {
		return errUsage(fmt.Sprintf("-deployment %q: want one of %s", dep, strings.Join(examples.Names, ", ")))
	}
	if factor <= 0 || factor > 10 {
		return errUsage(fmt.Sprintf("-factor %g: want more than 0 and at most 10", factor))
	}
	return nil
}

func (t *tool) progress(done, started int) {
	fmt.Fprintf(t.err, "  sent %d, ended %d\n", started, done)
}

// report prints a run; broken answers make the command fail.
func (t *tool) report(rep load.Report, asJSON bool) error {
	if asJSON {
		if err := t.json(rep); err != nil {
			return err
		}
	} else {
		fmt.Fprint(t.out, rep.Text())
	}
	if rep.Wrong > 0 {
		return errNo
	}
	return nil
}

// load sends load to running hosts, or to stand-ins of its own.
func (t *tool) load(fs *flag.FlagSet, args []string) error {
	callers := fs.String("callers", "", "caller addresses of hosts, IP:port, separated by commas")
	standins := fs.Bool("standins", false, "run the deployment on stand-ins in this process")
	dep := fs.String("deployment", "domaskra", "whose mix: domaskra or paranacor")
	mode := fs.String("mode", "owner", "policy, with -standins")
	factor := fs.Float64("factor", 1, "load, as a share of the capacity of the deployment's pools")
	span := fs.Duration("span", 20*time.Second, "how long load is sent")
	leaving := fs.Float64("leaving", 0.1, "share of callers that leave during prefill")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	logTo := fs.String("log", "", "file for the hosts' log lines, with -standins")
	asJSON := fs.Bool("json", false, "print JSON for programs")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	if err := checkRun(*dep, *factor); err != nil {
		return err
	}
	if *standins {
		log, err := logFile(*logTo)
		if err != nil {
			return err
		}
		r := load.Run{Deployment: *dep, Mode: config.PolicyMode(*mode), Factor: *factor, Span: *span, Leaving: *leaving, Seed: *seed,
			LagMillis: load.DefaultLag, Progress: t.progress, Log: log}
		rep, _, err := r.Do(context.Background())
		if err != nil {
			return err
		}
		return t.report(rep, *asJSON)
	}
	if *callers == "" {
		return errUsage("name -callers, or use -standins")
	}
	d, err := config.ParseDocument(examples.Document(*dep))
	if err != nil {
		return err
	}
	mix := load.Mixes[*dep]
	s := load.Sender{Addresses: strings.Split(*callers, ","), Model: mix.Model, Progress: t.progress}
	rs := s.Send(context.Background(), mix.Arrivals(*seed, *factor*mix.Capacity(d).Rate, *span, *leaving))
	return t.report(load.Sum("load on "+*callers, rs, nil, d.Targets, *span), *asJSON)
}

// logFile returns a logger of JSON lines into a file, or nil for no file.
func logFile(path string) (*zap.Logger, error) {
	if path == "" {
		return nil, nil
	}
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.OutputPaths = []string{path}
	return cfg.Build()
}

// bench reruns the table of policies and loads.
func (t *tool) bench(fs *flag.FlagSet, args []string) error {
	dep := fs.String("deployment", "", "domaskra or paranacor; empty: both")
	span := fs.Duration("span", 20*time.Second, "how long load is sent in each run")
	loads := fs.String("loads", "0.7,1,1.3,2", "loads, as shares of the pools' capacity")
	modes := fs.String("modes", "owner,least_load,fixed_share,dispatcher,random,round_robin,two_choices", "policies")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	beside := fs.Int("beside", 3, "runs at the same time")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	deps := examples.Names
	if *dep != "" {
		if err := checkRun(*dep, 1); err != nil {
			return err
		}
		deps = []string{*dep}
	}
	rows, err := load.Table{Deployments: deps, Loads: *loads, Modes: *modes, Span: *span, Seed: *seed, Beside: *beside,
		Told: func(line string) { fmt.Fprintln(t.err, line) }}.Do(context.Background())
	if err != nil {
		return errUsage(err.Error())
	}
	fmt.Fprint(t.out, load.Markdown(rows))
	return nil
}
