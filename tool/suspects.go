package tool

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/request"
)

// suspects lists the requests during which endpoints crashed, or clears one of them at the
// first host that answers. That host informs all others.
func (t *tool) suspects(fs *flag.FlagSet, args []string) error {
	admin, asJSON := adminFlag(fs)
	clear := fs.String("clear", "", "fingerprint of a request or a part to clear")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	if *clear != "" {
		return t.clearSuspect(*admin, *clear)
	}
	all, err := fetchAll[[]node.SuspectRow](t, *admin, node.PathSuspects)
	if err != nil {
		return err
	}
	if *asJSON {
		return t.printJSON(all)
	}
	t.printTable("ADMIN\tFINGERPRINT\tPART\tSTAGE\tTEAM\tVERDICT\tREST\tENDS\tLAST ENDPOINT\tSEEN BY\tAGE", func(w io.Writer) {
		for _, a := range sortedKeys(all) {
			for _, r := range all[a] {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0fs\t%d\t%s\t%s\t%.0fs\n", a, r.Request, partName(r), r.Stage, r.Team, r.Verdict, r.RetryAfterSeconds, r.Crashes, r.LastEndpoint, r.SeenBy, r.AgeSeconds)
			}
		}
	})
	return nil
}

// partName returns the name of a part, with those that can't be told apart from it; "whole": a request.
func partName(r node.SuspectRow) string {
	if r.Part == "" {
		return "whole"
	}
	return strings.Join(append([]string{r.Part}, r.With...), "+")
}

// clearSuspect clears a request at the first host that answers.
func (t *tool) clearSuspect(admin, fingerprint string) error {
	if _, err := request.ParseFingerprint(fingerprint); err != nil {
		return usageError("-clear: " + err.Error())
	}
	addrs, err := splitHosts(admin)
	if err != nil {
		return err
	}
	for _, a := range addrs {
		if err = postClear(a, fingerprint); err == nil {
			fmt.Fprintf(t.out, "%s: cleared at %s, which tells all hosts\n", fingerprint, a)
			return nil
		}
		fmt.Fprintf(t.err, "%s: %v\n", a, err)
	}
	return errNoReply
}

// postClear sends the call that clears a request to one host.
func postClear(addr, fingerprint string) error {
	hc := &http.Client{Timeout: adminTimeout}
	defer hc.CloseIdleConnections()
	res, err := hc.PostForm("http://"+addr+node.PathSuspects+"?fingerprint="+url.QueryEscape(fingerprint), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(body)))
	}
	return err
}
