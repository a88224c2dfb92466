package router

// heardList holds replicas in the order in which they were last heard, oldest
// first.
type heardList struct {
	first, last *replica
}

func (l *heardList) push(p *replica) {
	p.list = l
	p.before = l.last
	p.after = nil
	if l.last == nil {
		l.first = p
	} else {
		l.last.after = p
	}
	l.last = p
}

// remove takes p out; a nil list has nothing to remove.
func (l *heardList) remove(p *replica) {
	if l == nil {
		return
	}
	if p.before == nil {
		l.first = p.after
	} else {
		p.before.after = p.after
	}
	if p.after == nil {
		l.last = p.before
	} else {
		p.after.before = p.before
	}
	p.list, p.before, p.after = nil, nil, nil
}
