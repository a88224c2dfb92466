package router

// replicaList is an unordered list; each replica is in at most one. A nil list
// stays empty.
type replicaList []*replica

func (l *replicaList) add(p *replica) {
	if l == nil {
		return
	}
	p.list, p.listIndex = l, len(*l)
	*l = append(*l, p)
}

func (l *replicaList) remove(p *replica) {
	if l == nil {
		return
	}
	end := len(*l) - 1
	last := (*l)[end]
	(*l)[p.listIndex] = last
	last.listIndex = p.listIndex
	(*l)[end] = nil
	*l = (*l)[:end]
	p.list = nil
}
