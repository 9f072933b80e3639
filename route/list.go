package route

// List is a set of endpoints that a request may go to. The zero value is empty.
type List struct {
	all      members
	byDomain []members // by the index of the failure domain
}

// members are states in no order, and where each stands.
type members struct {
	rows []*State
	at   map[uint32]int
}

// All returns the states, which must not be changed.
func (l *List) All() []*State { return l.all.rows }

// In returns those of a failure domain, by its index.
func (l *List) In(domain int) []*State {
	if domain >= len(l.byDomain) {
		return nil
	}
	return l.byDomain[domain].rows
}

// Find returns the state of a number, if it is on the list.
func (l *List) Find(number uint32) *State {
	if i, there := l.all.at[number]; there {
		return l.all.rows[i]
	}
	return nil
}

func (l *List) put(s *State) {
	l.all.put(s)
	for len(l.byDomain) <= s.Domain {
		l.byDomain = append(l.byDomain, members{})
	}
	l.byDomain[s.Domain].put(s)
}

func (l *List) remove(s *State) {
	l.all.remove(s)
	if s.Domain < len(l.byDomain) {
		l.byDomain[s.Domain].remove(s)
	}
}

func (m *members) put(s *State) {
	if m.at == nil {
		m.at = map[uint32]int{}
	}
	m.at[s.Number] = len(m.rows)
	m.rows = append(m.rows, s)
}

// remove puts the last one in the place of the one that goes.
func (m *members) remove(s *State) {
	i, there := m.at[s.Number]
	if !there {
		return
	}
	last := len(m.rows) - 1
	m.rows[i] = m.rows[last]
	m.at[m.rows[i].Number] = i
	m.rows[last] = nil
	m.rows = m.rows[:last]
	delete(m.at, s.Number)
}
