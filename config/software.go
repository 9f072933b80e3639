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
	if IsUnknownSoftware(e.Software) {
		return "unknown"
	}
	return e.Software
}

// IsUnknownSoftware reports whether a version stands for an unknown one.
func IsUnknownSoftware(software string) bool { return strings.HasPrefix(software, unknownSoftware) }

// unknownSoftware begins the versions that stand for unknown ones. No registration states such a version.
const unknownSoftware = "\x00"
