package config

// Evacuation is an operator's order to evacuate a failure domain: nothing more is sent to its
// endpoints until the order is revoked.
type Evacuation struct {
	Domain   string
	Revision Position // at which it was published
}

// EvacuationsByDomain returns a map of the list by failure domain, nil for an empty list.
func EvacuationsByDomain(list []Evacuation) map[string]Evacuation {
	if len(list) == 0 {
		return nil
	}
	out := make(map[string]Evacuation, len(list))
	for _, e := range list {
		out[e.Domain] = e
	}
	return out
}

// IsEvacuated reports whether an endpoint's failure domain is evacuated.
func (v *View) IsEvacuated(e *Endpoint) bool {
	_, evacuated := v.Evacuated[e.Domain]
	return evacuated
}
