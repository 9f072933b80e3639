package tool

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/report"
)

// askTimeout bounds a call to an admin interface.
const askTimeout = 3 * time.Second

// maxReply is the most that is read of an admin reply.
const maxReply = 16 << 20

func adminFlag(fs *flag.FlagSet) (admin *string, asJSON *bool) {
	return fs.String("admin", "", "admin addresses of hosts, IP:port, separated by commas"), fs.Bool("json", false, "print JSON for programs")
}

func hosts(list string) ([]string, error) {
	if list == "" {
		return nil, errUsage("-admin must name at least one host")
	}
	return strings.Split(list, ","), nil
}

// ask reads one admin path of a host.
func ask(addr, path string, v any) error {
	hc := &http.Client{Timeout: askTimeout}
	defer hc.CloseIdleConnections()
	res, err := hc.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", addr, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, v)
}

// askAll reads a path of every host and says which did not answer. It fails
// only if none did.
func askAll[T any](t *tool, list, path string) (map[string]T, error) {
	addrs, err := hosts(list)
	if err != nil {
		return nil, err
	}
	out := map[string]T{}
	for _, a := range addrs {
		var v T
		if err := ask(a, path, &v); err != nil {
			fmt.Fprintf(t.err, "%s: %v\n", a, err)
			continue
		}
		out[a] = v
	}
	if len(out) == 0 {
		return nil, errReach
	}
	return out, nil
}

func (t *tool) json(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (t *tool) table(head string, rows func(w io.Writer)) {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	w.Flush()
}

func (t *tool) status(fs *flag.FlagSet, args []string) error {
	admin, asJSON := adminFlag(fs)
	if err := parse(fs, args, false); err != nil {
		return err
	}
	all, err := askAll[node.Status](t, *admin, node.PathStatus)
	if err != nil {
		return err
	}
	if *asJSON {
		return t.json(all)
	}
	t.table("HOST\tDOMAIN\tREVISION\tREJECTED\tPLATFORM SILENT\tIN PROGRESS\tGOOD\tLATE\tBAD\tPAUSES\tBROKEN", func(w io.Writer) {
		for _, a := range keys(all) {
			s := all[a]
			silent := "never heard"
			if s.Config.PlatformSilent >= 0 {
				silent = fmt.Sprintf("%.0fs", s.Config.PlatformSilent)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Host, s.Domain, s.Config.Revision, s.Config.Rejected, silent,
				s.Progress, s.Sum.Good, s.Sum.Late, s.Sum.Bad, s.Pauses, len(s.Broken))
		}
	})
	t.quotas(all)
	t.evacuations(all)
	first := all[keys(all)[0]]
	fmt.Fprintf(t.out, "\nas %s sees it:\n", first.Host)
	t.table("HOST\tDOMAIN\tSTATE\tSILENT", func(w io.Writer) {
		for _, h := range first.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\n", h.Host, h.Domain, hostState(h), h.Silent)
		}
	})
	fmt.Fprintln(t.out)
	t.table("ENDPOINT\tROLE\tDOMAIN\tOWNER\tSTATE\tQUEUE\tFREE TOKENS\tFREE SLOTS\tSLOW\tFAILING\tAGE", func(w io.Writer) {
		for _, e := range first.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%dms\t%d\t%d\t%.2f\t%d%%\t%s\n", e.Endpoint, e.Role, e.Domain, e.Owner, e.State, e.Queue, e.Free, e.Slots, e.Slow, e.Failing, age(e.Age))
		}
	})
	return nil
}

// quotas prints what the hosts that hold quotas know of them.
func (t *tool) quotas(all map[string]node.Status) {
	rows := 0
	for _, s := range all {
		rows += len(s.Quotas)
	}
	if rows == 0 {
		return
	}
	fmt.Fprintln(t.out)
	t.table("TEAM\tDOMAIN\tHELD BY\tRATE\tFREE\tUSED\tASKED\tUSE\tUNHEARD", func(w io.Writer) {
		for _, a := range keys(all) {
			s := all[a]
			for _, q := range s.Quotas {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.0f/s\t%.0f\t%.0f/s\t%.0f/s\t%.0f%%\t%s\n", q.Team, s.Domain, s.Host, q.Rate, q.Free, q.Used, q.Asked,
					100*q.Use, strings.Join(q.Unheard, " "))
			}
		}
	})
}

func age(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", s)
}

func hostState(h node.HostStatus) string {
	switch {
	case h.Leaving:
		return "leaving"
	case !h.Live:
		return "gone"
	case h.Doubted:
		return "doubted"
	}
	return "live"
}

func (t *tool) explain(fs *flag.FlagSet, args []string) error {
	admin, asJSON := adminFlag(fs)
	team, model := fs.String("team", "", "team of the request"), fs.String("model", "", "model or adapter")
	tokens, answer := fs.Int("tokens", 1000, "tokens of the prompt"), fs.Int("max-tokens", 100, "tokens of the answer")
	labels := fs.String("labels", "", "further labels, key=value,key=value")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	addrs, err := hosts(*admin)
	if err != nil {
		return err
	}
	q := url.Values{"team": {*team}, "model": {*model}, "labels": {*labels}, "tokens": {fmt.Sprint(*tokens)}, "max_tokens": {fmt.Sprint(*answer)}}
	var ex node.Explanation
	if err := ask(addrs[0], node.PathExplain+"?"+q.Encode(), &ex); err != nil {
		return errors.Wrap(errReach, err.Error())
	}
	if *asJSON {
		return t.json(ex)
	}
	fmt.Fprintf(t.out, "revision %d, route %s\n", ex.Revision, orNone(ex.Route))
	if ex.Refusal != "" {
		fmt.Fprintf(t.out, "would be refused: %s\n", ex.Refusal)
	}
	if ex.Prefill != "" {
		fmt.Fprintf(t.out, "would go to %s, then %s: wait %.3fs + read %.3fs + move %.3fs, target %.3fs\n", ex.Prefill, ex.Decode, ex.Wait, ex.Read, ex.Move, ex.Target)
	}
	fmt.Fprintln(t.out)
	t.table("\tENDPOINT\tROLE\tDOMAIN\tCOST\tQUEUE\tUNCACHED\tFREE TOKENS\tAGE\tWHY NOT", func(w io.Writer) {
		for _, c := range ex.Candidates {
			mark, cost := "", fmt.Sprintf("%.3fs", c.Cost)
			if c.Chosen {
				mark = "*"
			}
			if c.Cost < 0 {
				cost = "-"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.3fs\t%d\t%d\t%s\t%s\n", mark, c.Endpoint, c.Role, c.Domain, cost, c.Queue, c.Uncached, c.Free, age(c.Age), c.Why)
		}
	})
	return nil
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func (t *tool) requests(fs *flag.FlagSet, args []string) error {
	admin, asJSON := adminFlag(fs)
	if err := parse(fs, args, false); err != nil {
		return err
	}
	all, err := askAll[[]node.RequestRow](t, *admin, node.PathRequests)
	if err != nil {
		return err
	}
	if *asJSON {
		return t.json(all)
	}
	t.table("ADMIN\tREQUEST\tTEAM\tMODEL\tPHASE\tAGE\tIN PHASE\tPREFILL\tDECODE\tATTEMPTS\tTOKENS", func(w io.Writer) {
		for _, a := range keys(all) {
			for _, r := range all[a] {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.2fs\t%.2fs\t%s\t%s\t%d\t%d\n", a, r.ID, r.Team, r.Model, r.Phase, r.Age, r.InPhase, r.Prefill, r.Decode, r.Attempt, r.Tokens)
			}
		}
	})
	return nil
}

func (t *tool) burn(fs *flag.FlagSet, args []string) error {
	admin, asJSON := adminFlag(fs)
	if err := parse(fs, args, false); err != nil {
		return err
	}
	all, err := askAll[report.BurnReport](t, *admin, node.PathBurn)
	if err != nil {
		return err
	}
	var reps []report.BurnReport
	for _, a := range keys(all) {
		reps = append(reps, all[a])
	}
	sum := report.Merge(reps)
	if *asJSON {
		return t.json(sum)
	}
	fmt.Fprint(t.out, sum.Text())
	return nil
}
