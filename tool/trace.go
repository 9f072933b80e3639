package tool

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/trace"
)

// trace prints the course of a request from logs, or groups the failed requests by cause.
func (t *tool) trace(fs *flag.FlagSet, args []string) error {
	failed := fs.Bool("failed", false, "group the failed requests by cause, instead of an ID")
	asJSON := fs.Bool("json", false, "write JSON")
	if err := fs.Parse(args); err != nil {
		return usageError(err.Error())
	}
	paths := fs.Args()
	id := ""
	if !*failed {
		if len(paths) == 0 {
			return usageError("want a request's ID, or -failed")
		}
		id, paths = paths[0], paths[1:]
	}
	lines, err := readLogs(paths)
	if err != nil {
		return err
	}
	if *failed {
		return t.printGroups(trace.GroupFailed(lines), *asJSON)
	}
	found := trace.Stories(lines, id)
	if len(found) == 0 {
		fmt.Fprintf(t.err, "no log line of request %s\n", id)
		return errFailed
	}
	if *asJSON {
		return json.NewEncoder(t.out).Encode(found)
	}
	for _, s := range found {
		s.Text(t.out)
	}
	return nil
}

func (t *tool) printGroups(groups []trace.Group, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(t.out).Encode(groups)
	}
	for _, g := range groups {
		fmt.Fprintf(t.out, "%6d  %s\n        %s\n", g.Count, g.Cause, g.IDs)
	}
	return nil
}

// readLogs reads log files, or standard input if there are none.
func readLogs(paths []string) ([]trace.Line, error) {
	if len(paths) == 0 {
		return trace.Read(os.Stdin)
	}
	var out []trace.Line
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		lines, err := trace.Read(io.Reader(f))
		f.Close()
		if err != nil {
			return nil, errors.Wrap(err, p)
		}
		out = append(out, lines...)
	}
	return out, nil
}
