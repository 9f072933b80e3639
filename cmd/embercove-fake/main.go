// Command embercove-fake runs a stand-in for the platform, a model runner or a plain
// service as a separate process, for tests and trials.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

const usage = `usage: embercove-fake platform -listen IP:PORT [-document FILE] [-hosts FILE]
       embercove-fake runner   -listen IP:PORT -document FILE -endpoint NAME [-faults JSON]
       embercove-fake app      -listen IP:PORT -name NAME [-takes DURATION] [-faults JSON]

Stand-ins for tests and trials. Faults are set by -faults or by POST
/control/faults; GET /control/truth returns what happened. The platform takes
POST /control/publish, /control/hosts, /control/down?v=1, /control/stale?rev=N.
`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintf(os.Stderr, "embercove-fake %s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}

type options struct {
	listen, document, hosts, endpoint, name, faults string
	takes                                           time.Duration
}

func run(role string, args []string) error {
	var o options
	fs := flag.NewFlagSet("embercove-fake "+role, flag.ExitOnError)
	fs.StringVar(&o.listen, "listen", "", "IP:port to listen on")
	fs.StringVar(&o.document, "document", "", "configuration document")
	fs.StringVar(&o.hosts, "hosts", "", "file with the list of hosts, a JSON array")
	fs.StringVar(&o.endpoint, "endpoint", "", "endpoint of the document to stand in for")
	fs.StringVar(&o.name, "name", "", "name of the service")
	fs.StringVar(&o.faults, "faults", "{}", "faults, as JSON")
	fs.DurationVar(&o.takes, "takes", 20*time.Millisecond, "time of a service call")
	if err := fs.Parse(args); err != nil {
		return err
	}
	h, err := newHandler(role, o)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	fmt.Printf("embercove-fake %s listens on %s\n", role, l.Addr())
	return http.Serve(l, h)
}

func newHandler(role string, o options) (http.Handler, error) {
	var f fake.Faults
	if err := json.Unmarshal([]byte(o.faults), &f); err != nil {
		return nil, fmt.Errorf("-faults: %w", err)
	}
	switch role {
	case "platform":
		return newPlatform(o)
	case "runner":
		return newRunner(o, f)
	case "app":
		app := &fake.App{Name: o.name, Latency: o.takes}
		app.SetFaults(f)
		return app, nil
	}
	return nil, fmt.Errorf("unknown role\n%s", usage)
}

func newPlatform(o options) (http.Handler, error) {
	p := fake.NewPlatform()
	if o.document != "" {
		src, err := os.ReadFile(o.document)
		if err != nil {
			return nil, err
		}
		p.Publish(src)
	}
	if o.hosts == "" {
		return p, nil
	}
	src, err := os.ReadFile(o.hosts)
	if err != nil {
		return nil, err
	}
	return p, p.SetHostsJSON(src)
}

func newRunner(o options, f fake.Faults) (http.Handler, error) {
	src, err := os.ReadFile(o.document)
	if err != nil {
		return nil, err
	}
	v, err := config.NewView(1, src)
	if err != nil {
		return nil, err
	}
	spec := v.Endpoint(o.endpoint)
	if spec == nil || spec.Role == config.Service {
		return nil, fmt.Errorf("-endpoint %q: the document has no such runner", o.endpoint)
	}
	r := fake.NewRunner(*spec, v.Models[spec.Model].KVBytesPerToken, v.WantVersion(spec), nil)
	r.SetFaults(f)
	return r, nil
}
