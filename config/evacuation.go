package config

// Evacuation says that operators have a failure domain emptied: nothing more is sent to
// its endpoints until that is taken back.
type Evacuation struct {
	Domain   string
	Revision Position // when it was published
}

// EvacuationsByDomain returns a list by failure domain; nil for an empty one.
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

// Emptied reports whether an endpoint lies in a failure domain that is being emptied.
func (v *View) Emptied(e *Endpoint) bool {
	_, emptied := v.Evacuated[e.Domain]
	return emptied
}
