// Package tool implements the operators' command line: it checks documents,
// inspects running hosts, and runs the demo and the measurements on stand-ins.
//
// Commands only read the hosts' admin interfaces, except suspects -clear.
package tool

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/result"
)

// Exit codes of the tool.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command failed, or its answer is no: an invalid document, an unknown request, wrong answers
	ExitUsage  = 2
	ExitNoHost = 3 // no host answered
)

// Version is the release.
const Version = "0.1.0"

// command is one subcommand.
type command struct {
	name, args, help, example string
	run                       func(t *tool, fs *flag.FlagSet, args []string) error
}

// tool is one invocation, with its standard output and error.
type tool struct {
	out, err io.Writer
}

// errFailed ends a command with ExitFailed. The command has already printed the reason.
var errFailed = errors.New("")

// errNoReply ends a command with ExitNoHost.
var errNoReply = errors.New("no host answered")

// usageError ends a command with ExitUsage.
type usageError string

func (e usageError) Error() string { return string(e) }

func commands() []command {
	return []command{
		{"check", "FILE...", "check settings and configuration documents", "embercove check examples/domaskra.hujson", (*tool).check},
		{"status", "-admin IP:PORT[,IP:PORT...]", "show hosts, owners, endpoints and the revision in force", "embercove status -admin 127.0.0.1:7303", (*tool).status},
		{"explain", "-admin IP:PORT -team T -model M -tokens N", "say where a request would go, and why", "embercove explain -admin 127.0.0.1:7303 -team press -model docket-reader -tokens 9000 -max-tokens 4", (*tool).explain},
		{"requests", "-admin IP:PORT[,IP:PORT...]", "list requests in progress, by phase and age", "embercove requests -admin 127.0.0.1:7303", (*tool).requests},
		{"suspects", "-admin IP:PORT[,IP:PORT...] [-clear FINGERPRINT]", "list requests under which endpoints ended, or clear one", "embercove suspects -admin 127.0.0.1:7303", (*tool).suspects},
		{"burn", "-admin IP:PORT[,IP:PORT...]", "report the burn of the service levels", "embercove burn -admin 127.0.0.1:7303,127.0.0.1:7313", (*tool).burn},
		{"trace", "ID [FILE...] | -failed [FILE...]", "tell a request's story from logs, or group the failed ones by cause", "embercove trace -failed host-1.log host-2.log", (*tool).trace},
		{"demo", "", "run a whole deployment on stand-ins for some seconds", "embercove demo -seconds 8", (*tool).demo},
		{"load", "-callers IP:PORT[,IP:PORT...] | -standins", "send open-loop load and report", "embercove load -standins -deployment paranacor -factor 1.3 -span 20s", (*tool).load},
		{"bench", "", "rerun the table of docs/RESULTS.md: policies by loads on the same arrivals", "embercove bench -deployment domaskra -span 20s", (*tool).bench},
		{"slopes", "", "measure what control costs: the slopes of docs/CAPACITY.md", "embercove slopes -span 10s", (*tool).slopes},
		{"codes", "", "print the table of result codes", "embercove codes > docs/RESULT-CODES.md", (*tool).codes},
		{"version", "", "print the version", "embercove version", (*tool).version},
	}
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	t := &tool{out: out, err: errOut}
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		fmt.Fprint(out, usageText())
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return t.runCommand(c, args[1:])
		}
	}
	fmt.Fprintf(errOut, "embercove: unknown command %q\n%s", args[0], usageText())
	return ExitUsage
}

func usageText() string {
	var b strings.Builder
	b.WriteString("usage: embercove COMMAND [flags]\n\n")
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-9s %s\n", c.name, c.help)
	}
	b.WriteString("\nembercove COMMAND -h tells more. Exit codes: 0 done, 1 the answer is no, 2 wrong usage, 3 no host answered.\n")
	return b.String()
}

func (t *tool) runCommand(c command, args []string) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(t.err)
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "usage: embercove %s %s\n\n%s.\n\n", c.name, c.args, strings.ToUpper(c.help[:1])+c.help[1:])
		fs.PrintDefaults()
		fmt.Fprintf(fs.Output(), "\nExample:\n  %s\n", c.example)
	}
	err := c.run(t, fs, args)
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(t.err, "embercove %s: %s\n", c.name, usage)
		return ExitUsage
	case errors.Is(err, errNoReply):
		fmt.Fprintf(t.err, "embercove %s: %v\n", c.name, err)
		return ExitNoHost
	case errors.Is(err, errFailed):
		return ExitFailed
	}
	fmt.Fprintf(t.err, "embercove %s: %v\n", c.name, err)
	return ExitFailed
}

// parse parses the flags. It rejects further arguments unless wantArgs is set.
func parse(fs *flag.FlagSet, args []string, wantArgs bool) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError(err.Error())
	}
	if !wantArgs && fs.NArg() > 0 {
		return usageError(fmt.Sprintf("unexpected argument %q", fs.Arg(0)))
	}
	return nil
}

func (t *tool) codes(fs *flag.FlagSet, args []string) error {
	if err := parse(fs, args, false); err != nil {
		return err
	}
	fmt.Fprint(t.out, result.Markdown())
	return nil
}

func (t *tool) version(fs *flag.FlagSet, args []string) error {
	if err := parse(fs, args, false); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "embercove %s\n", Version)
	return nil
}
