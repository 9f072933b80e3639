package config

import (
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Selector is a parsed label selector. The zero value matches nothing, so that a missing
// selector doesn't open any endpoint.
type Selector struct {
	sel labels.Selector
}

// ParseSelector parses a selector in the syntax of Kubernetes, such as
// "app=docket,tier in (gold,silver),!legacy". "*" matches everything; an empty text is an error.
func ParseSelector(text string) (Selector, error) {
	if text == "*" {
		return Selector{labels.Everything()}, nil
	}
	if text == "" {
		return Selector{}, errors.New(`empty selector; write "*" for everything`)
	}
	s, err := labels.Parse(text)
	if err != nil {
		return Selector{}, errors.Wrap(err, "selector")
	}
	return Selector{s}, nil
}

// Matches reports whether the labels satisfy s.
func (s Selector) Matches(set map[string]string) bool {
	return s.sel != nil && s.sel.Matches(labels.Set(set))
}
