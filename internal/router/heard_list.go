package router

// heardList holds replicas in the order in which they were last heard, oldest
// first.
type contactList struct {
	first, last *replica
}

func (l *contactList) push(p *replica) {
	p.contacts = l
	p.prev = l.last
	p.next = nil
	if l.last == nil {
		l.first = p
	} else {
		l.last.next = p
	}
	l.last = p
}

// remove takes p out; a nil list has nothing to remove.
func (l *contactList) remove(p *replica) {
	if l == nil {
		return
	}
	if p.prev == nil {
		l.first = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		l.last = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.contacts, p.prev, p.next = nil, nil, nil
}
