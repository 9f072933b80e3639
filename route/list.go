package route

// List is a set of endpoints, also indexed by failure domain. The zero value is empty.
type List struct {
	all      stateSet
	byDomain []stateSet // by the index of the failure domain
}

// stateSet holds states in no order, and the index of each.
type stateSet struct {
	rows  []*State
	index map[uint32]int
}

// All returns the states, which must not be changed.
func (l *List) All() []*State { return l.all.rows }

// InFailureDomain returns the states in the failure domain with an index.
func (l *List) InFailureDomain(domain int) []*State {
	if domain >= len(l.byDomain) {
		return nil
	}
	return l.byDomain[domain].rows
}

// Find returns the state of a number, or nil.
func (l *List) Find(number uint32) *State {
	if i, there := l.all.index[number]; there {
		return l.all.rows[i]
	}
	return nil
}

func (l *List) add(s *State) {
	l.all.add(s)
	for len(l.byDomain) <= s.Domain {
		l.byDomain = append(l.byDomain, stateSet{})
	}
	l.byDomain[s.Domain].add(s)
}

func (l *List) remove(s *State) {
	l.all.remove(s)
	if s.Domain < len(l.byDomain) {
		l.byDomain[s.Domain].remove(s)
	}
}

func (m *stateSet) add(s *State) {
	if m.index == nil {
		m.index = map[uint32]int{}
	}
	m.index[s.Number] = len(m.rows)
	m.rows = append(m.rows, s)
}

// remove moves the last state into the slot of the removed one.
func (m *stateSet) remove(s *State) {
	i, there := m.index[s.Number]
	if !there {
		return
	}
	last := len(m.rows) - 1
	m.rows[i] = m.rows[last]
	m.index[m.rows[i].Number] = i
	m.rows[last] = nil
	m.rows = m.rows[:last]
	delete(m.index, s.Number)
}
