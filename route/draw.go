package route

// look calls see for the endpoints of a list that a choice looks at. see reports whether an
// endpoint is open.
func (f *Fleet) look(l *List, _ *Request, see func(s *State) bool) {
	for _, s := range l.All() {
		see(s)
	}
}
