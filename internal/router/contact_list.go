package router

// contactList holds replicas in the order of their last contact, oldest first.
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

// remove removes p; on a nil list it does nothing.
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
