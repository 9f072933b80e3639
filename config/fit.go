package config

import (
	"slices"
	"strconv"
	"strings"
)

// RoutePath is what a route is selected by.
type RoutePath struct {
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
}

// Omitted counts the rows of each list that were left out of a document.
type Omitted struct {
	Models    int `json:"models,omitempty"`
	Pools     int `json:"pools,omitempty"`
	Endpoints int `json:"endpoints,omitempty"`
	Routes    int `json:"routes,omitempty"`
	Teams     int `json:"teams,omitempty"`
}

// Fit makes a document valid that a platform has accepted: numbers are brought into their ranges, and rows that stay invalid are
// left out and counted in Omitted. It returns what it changed. The error lists what it can't mend.
func (d *Document) Fit() (changes FieldErrors, err error) {
	if len(d.withDefaults().check()) == 0 {
		return nil, nil
	}
	d.setDefaults()
	for {
		c := &checker{fits: true}
		d.checkWith(c)
		changes = append(changes, c.adjusted...)
		if len(c.errs) == 0 {
			return changes, nil
		}
		if !d.omit(c.errs) {
			return changes, c.errs
		}
		changes = append(changes, c.errs...)
	}
}

// withDefaults returns a copy of the document with its defaults set.
func (d *Document) withDefaults() *Document {
	out := *d
	out.Teams, out.Pools, out.Endpoints = slices.Clone(d.Teams), slices.Clone(d.Pools), slices.Clone(d.Endpoints)
	out.setDefaults()
	return &out
}

// omit leaves out the rows that the errors are about, and reports whether there are any.
func (d *Document) omit(errs FieldErrors) bool {
	before := d.Omitted
	omitRows("models", errs, &d.Models, &d.Omitted.Models)
	omitRows("pools", errs, &d.Pools, &d.Omitted.Pools)
	omitRows("endpoints", errs, &d.Endpoints, &d.Omitted.Endpoints)
	for _, r := range omitRows("routes", errs, &d.Routes, &d.Omitted.Routes) {
		d.OmittedPaths = append(d.OmittedPaths, RoutePath{r.Host, r.PathPrefix})
	}
	omitRows("teams", errs, &d.Teams, &d.Omitted.Teams)
	return d.Omitted != before
}

// omitRows leaves out the rows of one list that the errors are about, counts and returns them.
func omitRows[T any](list string, errs FieldErrors, rows *[]T, count *int) (omitted []T) {
	invalid := map[int]bool{}
	for _, e := range errs {
		if at, ok := rowOf(e.Field, list); ok {
			invalid[at] = true
		}
	}
	var kept []T
	for i, row := range *rows {
		if invalid[i] {
			omitted = append(omitted, row)
		} else {
			kept = append(kept, row)
		}
	}
	*count += len(omitted)
	*rows = kept
	return omitted
}

// rowOf returns the index of the row of a list that a field such as routes[3].name is in.
func rowOf(field, list string) (at int, ok bool) {
	rest, inList := strings.CutPrefix(field, list+"[")
	number, _, closed := strings.Cut(rest, "]")
	at, err := strconv.Atoi(number)
	return at, inList && closed && err == nil
}
