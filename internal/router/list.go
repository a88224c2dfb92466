package router

// list holds replicas in no order; each is in at most one. A nil list holds
// nothing.
type list []*replica

func (l *list) add(p *replica) {
	if l == nil {
		return
	}
	p.in, p.at = l, len(*l)
	*l = append(*l, p)
}

func (l *list) remove(p *replica) {
	if l == nil {
		return
	}
	end := len(*l) - 1
	last := (*l)[end]
	(*l)[p.at] = last
	last.at = p.at
	(*l)[end] = nil
	*l = (*l)[:end]
	p.in = nil
}
