package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// This file finds the team of a request. Keys are compared by their digests. No key, or
// part of one, goes into an error, a log line or a message.

// defaultTeam is the team of calls that need none: of protocols without teams, under a
// document without keys, or on a public route.
var defaultTeam = &config.Team{Name: "default", Weight: 1}

// maxCredential bounds the length of a key, in bytes. A longer one can't be any team's key;
// it is refused before it is hashed.
const maxCredential = 4096

// teamPriority returns the priority of a team's requests on a route.
func teamPriority(t *config.Team, r *config.RouteView) int {
	if t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}

// callTeam returns the team of a call whose protocol identifies teams only by key.
func callTeam(v *config.View, r *config.RouteView, keys []string) (*config.Team, *result.Error) {
	if !v.HasKeys() {
		return defaultTeam, nil
	}
	t, refusal := keyTeam(v, keys)
	if refusal != nil && r.Public {
		return defaultTeam, nil
	}
	return t, refusal
}

// keyTeam returns the team that holds a key.
func keyTeam(v *config.View, keys []string) (*config.Team, *result.Error) {
	switch {
	case len(keys) == 0 || len(keys) == 1 && keys[0] == "":
		return nil, result.Errorf(result.BadCredentials, "the request carries no key")
	case len(keys) > 1:
		return nil, result.Errorf(result.BadCredentials, "the request carries %d keys, want one", len(keys))
	case len(keys[0]) > maxCredential:
		return nil, result.Errorf(result.BadCredentials, "the key is longer than %d bytes", maxCredential)
	}
	t := v.TeamOfKey(keys[0])
	if t == nil {
		return nil, result.Errorf(result.BadCredentials, "revision %d holds no such key", v.Revision)
	}
	return t, nil
}

// apiTeam returns the team of a call to embercove's own interface: that of its bearer
// token, which is a key, or the team named in a header, if that team has no keys.
func apiTeam(v *config.View, h http.Header) (*config.Team, *result.Error) {
	name := h.Get(HeaderTeam)
	if tokens := bearerTokens(h); len(tokens) > 0 && v.HasKeys() {
		t, refusal := keyTeam(v, tokens)
		if refusal == nil && name != "" && name != t.Name {
			return nil, result.Errorf(result.BadCredentials, "%s = %q: the key belongs to another team", HeaderTeam, name)
		}
		return t, refusal
	}
	t := v.Teams[name]
	switch {
	case t == nil && allKeyed(v):
		return nil, result.Errorf(result.BadCredentials, "the request carries no key")
	case t == nil:
		return nil, result.Errorf(result.UnknownTeam, "%s = %q: not a configured team", HeaderTeam, name)
	case len(t.KeysSHA256) > 0:
		return nil, result.Errorf(result.BadCredentials, "Authorization: team %s requires a key", t.Name)
	}
	return t, nil
}

// allKeyed reports whether every team has keys, so that none can be named by header.
func allKeyed(v *config.View) bool {
	return !slices.ContainsFunc(v.Doc.Teams, func(t config.Team) bool { return len(t.KeysSHA256) == 0 })
}

// bearerTokens returns the bearer tokens of a request.
func bearerTokens(h http.Header) (tokens []string) {
	for _, field := range h.Values("Authorization") {
		if scheme, token, ok := strings.Cut(field, " "); ok && strings.EqualFold(scheme, "Bearer") {
			tokens = append(tokens, strings.TrimSpace(token))
		}
	}
	return tokens
}
