package entry

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// orUncertain returns the refusal of a call. A host doesn't deny what a part of the configuration may allow that it doesn't have.
func (e *Entry) orUncertain(refusal *result.Error) *result.Error {
	switch {
	case !isDenial(refusal.Code):
		return refusal
	case e.board.Config.Outdated(time.Now(), config.FractionMillis(e.board.Settings.ChangeMillis)):
		return result.Errorf(result.ConfigOutdated, "%s, by a configuration that may be out of date", refusal.Detail).After(elsewhereRetryAfter)
	case e.lacksRow(refusal.Code):
		return result.Errorf(result.ConfigPartial, "%s, and a part of the configuration was left out", refusal.Detail).After(partialRetryAfter)
	}
	return refusal
}

// partialRetryAfter is the retry time of a request that a part of the configuration may allow which was left out. Only another
// version, or a host of another software version, can serve it.
const partialRetryAfter = 2 * time.Second

// isDenial reports whether a refusal rests on what the configuration doesn't hold or allow.
func isDenial(code result.Code) bool {
	switch code {
	case result.NoRoute, result.UnknownService, result.UnknownModel, result.UnknownTeam, result.BadCredentials, result.BodyTooLarge, result.PromptTooLong:
		return true
	}
	return false
}

// lacksRow reports whether a denial may rest on a row that was left out of the configuration.
func (e *Entry) lacksRow(code result.Code) bool {
	v := e.board.Config.View()
	if v == nil {
		return false
	}
	o := v.Doc.Omitted
	switch code {
	case result.NoRoute, result.UnknownService:
		return o.Routes > 0
	case result.UnknownModel:
		return o.Models > 0
	case result.UnknownTeam, result.BadCredentials:
		return o.Teams > 0
	}
	return false
}
