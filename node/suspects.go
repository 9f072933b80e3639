package node

import (
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
)

// SuspectRow describes a request that endpoints crashed under, or a part of prompts, as operators see it.
type SuspectRow struct {
	Request string `json:"fingerprint"`    // or that of the part
	Part    string `json:"part,omitempty"` // its name; empty: a whole request
	// With names the parts that were there at each crash as well and can't be told apart from it.
	With              []string `json:"with,omitempty"`
	Requests          int      `json:"requests,omitempty"` // different ones with the part that endpoints crashed under
	Stage             string   `json:"stage"`
	Team              string   `json:"team"`
	Verdict           string   `json:"verdict"`
	RetryAfterSeconds float64  `json:"rest_s"` // seconds until it may be tried again; 0: now, or never
	Crashes           uint32   `json:"ends"`
	LastEndpoint      string   `json:"endpoint"` // that crashed last
	SeenBy            string   `json:"seen_by"`
	AgeSeconds        float64  `json:"age_s"`
}

// suspects lists the requests with a failure mark and the parts that crashes count against.
func (n *Node) suspects() []SuspectRow {
	out := []SuspectRow{}
	now := clock.Now()
	for _, r := range n.Board.Parts.Rows(now) {
		out = append(out, SuspectRow{Request: r.Part.Key.String(), Part: r.Part.Name, With: r.With, Requests: r.Requests, Stage: quarantine.Running.String(),
			Team: n.teamName(r.Team), Verdict: r.Verdict.String(), RetryAfterSeconds: r.Backoff.Seconds(), Crashes: uint32(r.Crashes),
			LastEndpoint: r.Endpoint, SeenBy: r.Host, AgeSeconds: r.Age.Seconds()})
	}
	for _, r := range n.Board.Suspects.Rows(now) {
		if r.Mark.Ends == 0 && !r.Mark.Beside {
			continue
		}
		verdict, backoff := n.Board.Suspects.Evaluate(r.Request, now)
		out = append(out, SuspectRow{Request: r.Request.String(), Stage: r.Stage.String(), Team: n.teamName(r.Team), Verdict: verdict.String(),
			RetryAfterSeconds: backoff.Seconds(), Crashes: r.Mark.Ends, LastEndpoint: r.Endpoint, SeenBy: r.Host, AgeSeconds: float64(r.AgeMillis) / 1000})
	}
	return out
}

// suspectParts lists the parts with some names that crashes count against.
func (n *Node) suspectParts(names []string) (out []SuspectRow) {
	for _, r := range n.suspects() {
		if r.Part != "" && slices.Contains(names, r.Part) {
			out = append(out, r)
		}
	}
	return out
}

// teamName returns the name of the team with a number, or "" if the configuration doesn't have it.
func (n *Node) teamName(teamNumber uint32) string {
	if v := n.Board.Config.View(); v != nil && v.TeamByNumber[teamNumber] != nil {
		return v.TeamByNumber[teamNumber].Name
	}
	return ""
}

// clearSuspect removes the failure mark of a request or what counts against a part, here and on all other
// hosts: POST ?fingerprint=F.
func (n *Node) clearSuspect(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := request.ParseFingerprint(r.URL.Query().Get("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, news := n.Board.Suspects.Clear(fingerprint, clock.Now()), n.Board.Parts.Clear(fingerprint, clock.Now())
	if !news.IsEmpty() {
		n.Router.AnnounceParts(news)
		n.log.Info("part cleared by an operator", zap.Stringer("fingerprint", fingerprint))
		writeJSON(w, []string{quarantine.Running.String()})
		return
	}
	if len(rows) == 0 {
		http.Error(w, "fingerprint "+fingerprint.String()+": it has no failure mark", http.StatusNotFound)
		return
	}
	n.Router.AnnounceMarks(rows)
	n.log.Info("request cleared by an operator", zap.Stringer("fingerprint", fingerprint))
	writeJSON(w, rowsCleared(rows))
}

// rowsCleared returns the stages for which a request was cleared.
func rowsCleared(rows []quarantine.Row) (stages []string) {
	for _, r := range rows {
		if r.Mark.Ends == 0 {
			stages = append(stages, r.Stage.String())
		}
	}
	return stages
}
