package tool

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/report"
)

// adminTimeout bounds a call to a host's admin interface.
const adminTimeout = 3 * time.Second

// maxReplyBytes is the most that is read of an admin interface's reply.
const maxReplyBytes = 16 << 20

func adminFlag(fs *flag.FlagSet) (admin *string, asJSON *bool) {
	return fs.String("admin", "", "admin addresses of hosts, IP:port, separated by commas"), fs.Bool("json", false, "print JSON for programs")
}

func splitHosts(list string) ([]string, error) {
	if list == "" {
		return nil, usageError("-admin must name at least one host")
	}
	return strings.Split(list, ","), nil
}

// fetch reads a path of a host's admin interface and decodes the JSON reply into v.
func fetch(addr, path string, v any) error {
	hc := &http.Client{Timeout: adminTimeout}
	defer hc.CloseIdleConnections()
	res, err := hc.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", addr, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, v)
}

// fetchAll reads a path of every host in the list and prints an error for each
// host that did not answer. It fails only if no host answered.
func fetchAll[T any](t *tool, list, path string) (map[string]T, error) {
	addrs, err := splitHosts(list)
	if err != nil {
		return nil, err
	}
	out := map[string]T{}
	for _, a := range addrs {
		var v T
		if err := fetch(a, path, &v); err != nil {
			fmt.Fprintf(t.err, "%s: %v\n", a, err)
			continue
		}
		out[a] = v
	}
	if len(out) == 0 {
		return nil, errNoReply
	}
	return out, nil
}

func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (t *tool) printTable(head string, rows func(w io.Writer)) {
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
	statuses, err := fetchAll[node.Status](t, *admin, node.PathStatus)
	if err != nil {
		return err
	}
	if *asJSON {
		return t.printJSON(statuses)
	}
	t.printTable("HOST\tDOMAIN\tREVISION\tREJECTED\tPLATFORM SILENT\tIN PROGRESS\tGOOD\tLATE\tBAD\tPAUSES\tBROKEN", func(w io.Writer) {
		for _, a := range sortedKeys(statuses) {
			s := statuses[a]
			platformSilence := "never heard"
			if s.Config.PlatformSilentSeconds >= 0 {
				platformSilence = fmt.Sprintf("%.0fs", s.Config.PlatformSilentSeconds)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Host, s.Domain, s.Config.Revision, s.Config.Rejected, platformSilence,
				s.RequestsInProgress, s.Totals.Good, s.Totals.Late, s.Totals.Bad, s.Pauses, len(s.BrokenInvariants))
		}
	})
	t.printQuotas(statuses)
	t.printEvacuations(statuses)
	t.printPaths(statuses)
	t.printIntake(statuses)
	firstHost := statuses[sortedKeys(statuses)[0]]
	fmt.Fprintf(t.out, "\nas %s sees it:\n", firstHost.Host)
	t.printTable("HOST\tDOMAIN\tSTATE\tSILENT", func(w io.Writer) {
		for _, h := range firstHost.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\n", h.Host, h.Domain, hostState(h), h.SilentSeconds)
		}
	})
	t.printVersions(firstHost)
	fmt.Fprintln(t.out)
	t.printTable("ENDPOINT\tROLE\tDOMAIN\tOWNER\tSTATE\tQUEUE\tFREE TOKENS\tFREE SLOTS\tSLOW\tFAILING\tAGE\tSOFTWARE", func(w io.Writer) {
		for _, e := range firstHost.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%dms\t%d\t%d\t%.2f\t%d%%\t%s\t%s\n", e.Endpoint, e.Role, e.Domain, e.Owner, e.State, e.QueueMillis, e.FreeTokens, e.FreeSlots, e.SlowFactor, e.FailedPercent, formatAge(e.DigestAgeSeconds), e.Software)
		}
	})
	return nil
}

// printVersions prints how many endpoints of each pool run which version of their software, as one host sees it.
func (t *tool) printVersions(s node.Status) {
	if len(s.Versions) == 0 {
		return
	}
	fmt.Fprintln(t.out)
	t.printTable("POOL\tROLE\tSOFTWARE\tENDPOINTS\tLEAVING", func(w io.Writer) {
		for _, v := range s.Versions {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", v.Pool, v.Role, v.Software, v.Endpoints, v.Leaving)
		}
	})
}

// printPaths prints the hosts that don't reach all endpoints directly, and those that pass on
// connections of others.
func (t *tool) printPaths(statuses map[string]node.Status) {
	affected := func(p node.EndpointPaths) bool {
		return len(p.Lost)+len(p.None)+p.TunnelsUsed+p.TunnelsPassed > 0
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(statuses)), func(s node.Status) bool { return affected(s.Paths) }) {
		return
	}
	fmt.Fprintln(t.out)
	t.printTable("HOST\tDOMAIN\tPATHS LOST\tNO PATH\tTUNNELS USED\tGATEWAYS\tRELAYED\tDOMAINS CUT OFF", func(w io.Writer) {
		for _, a := range sortedKeys(statuses) {
			if s := statuses[a]; affected(s.Paths) {
				p := s.Paths
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Host, s.Domain, len(p.Lost), len(p.None), p.TunnelsUsed, len(p.Gateways), p.TunnelsPassed, strings.Join(p.CutOffDomains, ","))
			}
		}
	})
}

// printQuotas prints the state of the quotas at the hosts that hold them.
func (t *tool) printQuotas(statuses map[string]node.Status) {
	rows := 0
	for _, s := range statuses {
		rows += len(s.Quotas)
	}
	if rows == 0 {
		return
	}
	fmt.Fprintln(t.out)
	t.printTable("TEAM\tDOMAIN\tHELD BY\tRATE\tFREE\tUSED\tASKED\tUSE\tUNHEARD", func(w io.Writer) {
		for _, a := range sortedKeys(statuses) {
			s := statuses[a]
			for _, q := range s.Quotas {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.0f/s\t%.0f\t%.0f/s\t%.0f/s\t%.0f%%\t%s\n", q.Team, s.Domain, s.Host, q.Rate, q.Free, q.AdmittedPerSecond, q.RequestedPerSecond,
					100*q.UsedShare, strings.Join(q.UnreachableDomains, " "))
			}
		}
	})
}

func formatAge(s float64) string {
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
	case h.Unconfirmed:
		return "doubted"
	}
	return "live"
}

func (t *tool) explain(fs *flag.FlagSet, args []string) error {
	admin, asJSON := adminFlag(fs)
	team, model := fs.String("team", "", "team of the request"), fs.String("model", "", "model or adapter")
	tokens, answer := fs.Int("tokens", 1000, "tokens of the prompt"), fs.Int("max-tokens", 100, "tokens of the answer")
	labels := fs.String("labels", "", "further labels, key=value,key=value")
	parts := fs.String("parts", "", "parts of the prompt, by the names that callers give them, part,part")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	addrs, err := splitHosts(*admin)
	if err != nil {
		return err
	}
	q := url.Values{"team": {*team}, "model": {*model}, "labels": {*labels}, "tokens": {fmt.Sprint(*tokens)}, "max_tokens": {fmt.Sprint(*answer)}, "parts": {*parts}}
	var explanation node.Explanation
	if err := fetch(addrs[0], node.PathExplain+"?"+q.Encode(), &explanation); err != nil {
		return errors.Wrap(errNoReply, err.Error())
	}
	if *asJSON {
		return t.printJSON(explanation)
	}
	fmt.Fprintf(t.out, "revision %d, route %s\n", explanation.Revision, valueOrNone(explanation.Route))
	if explanation.Refusal != "" {
		fmt.Fprintf(t.out, "would be refused: %s\n", explanation.Refusal)
	}
	for _, r := range explanation.Parts {
		fmt.Fprintf(t.out, "part %s: %s; %d endpoints ended under %d requests with it, %s last, %.0fs ago\n", partName(r), r.Verdict, r.Crashes, r.Requests, r.LastEndpoint, r.AgeSeconds)
	}
	if explanation.Prefill != "" {
		fmt.Fprintf(t.out, "would go to %s, then %s: wait %.3fs + read %.3fs + move %.3fs, target %.3fs\n", explanation.Prefill, explanation.Decode, explanation.QueueSeconds, explanation.PrefillSeconds, explanation.TransferSeconds, explanation.TTFTTargetSeconds)
	}
	fmt.Fprintln(t.out)
	t.printTable("\tENDPOINT\tROLE\tDOMAIN\tCOST\tQUEUE\tUNCACHED\tFREE TOKENS\tAGE\tPATH\tWHY NOT", func(w io.Writer) {
		for _, c := range explanation.Candidates {
			mark, cost := "", fmt.Sprintf("%.3fs", c.Cost)
			if c.Chosen {
				mark = "*"
			}
			if c.Cost < 0 {
				cost = "-"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.3fs\t%d\t%d\t%s\t%s\t%s\n", mark, c.Endpoint, c.Role, c.Domain, cost, c.Queue, c.Uncached, c.Free, formatAge(c.Age), c.Path, c.Reason)
		}
	})
	return nil
}

func valueOrNone(s string) string {
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
	all, err := fetchAll[[]node.RequestRow](t, *admin, node.PathRequests)
	if err != nil {
		return err
	}
	if *asJSON {
		return t.printJSON(all)
	}
	t.printTable("ADMIN\tREQUEST\tTEAM\tMODEL\tPHASE\tAGE\tIN PHASE\tPREFILL\tDECODE\tATTEMPTS\tTOKENS", func(w io.Writer) {
		for _, a := range sortedKeys(all) {
			for _, r := range all[a] {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.2fs\t%.2fs\t%s\t%s\t%d\t%d\n", a, r.ID, r.Team, r.Model, r.Phase, r.AgeSeconds, r.PhaseSeconds, r.Prefill, r.Decode, r.Attempts, r.PromptTokens)
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
	all, err := fetchAll[report.BurnReport](t, *admin, node.PathBurn)
	if err != nil {
		return err
	}
	var reports []report.BurnReport
	for _, a := range sortedKeys(all) {
		reports = append(reports, all[a])
	}
	sum := report.Merge(reports)
	if *asJSON {
		return t.printJSON(sum)
	}
	fmt.Fprint(t.out, sum.Text())
	return nil
}
