package entry

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// orOutdated returns the refusal of a call. A host whose configuration may be out of date doesn't deny
// what a later one may allow: its callers are sent to another host.
func (e *Entry) orOutdated(refusal *result.Error) *result.Error {
	if !isDenial(refusal.Code) || !e.board.Config.Outdated(time.Now(), config.FractionMillis(e.board.Settings.ChangeMillis)) {
		return refusal
	}
	return result.Errorf(result.ConfigOutdated, "%s, by a configuration that may be out of date", refusal.Detail).After(elsewhereRetryAfter)
}

// isDenial reports whether a refusal rests on what the configuration doesn't hold or allow.
func isDenial(code result.Code) bool {
	switch code {
	case result.NoRoute, result.UnknownService, result.UnknownModel, result.UnknownTeam, result.BadCredentials, result.BodyTooLarge, result.PromptTooLong:
		return true
	}
	return false
}
