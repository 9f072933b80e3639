package config

import "strings"

// WithUnknownSoftware returns the endpoint with a software version that no other endpoint runs, as its own
// isn't known.
func (e *Endpoint) WithUnknownSoftware() Endpoint {
	out := *e
	out.Software = unknownSoftware + e.Name
	return out
}

// SoftwareName returns the version of the endpoint's software as operators see it.
func (e *Endpoint) SoftwareName() string {
	if strings.HasPrefix(e.Software, unknownSoftware) {
		return "unknown"
	}
	return e.Software
}

// unknownSoftware begins the versions that stand for unknown ones. No registration states such a version.
const unknownSoftware = "\x00"
