package router

// list holds replicas in no order; each is in at most one. A nil list holds
// nothing.
type replicaList []*replica

func (l *replicaList) add(p *replica) {
	if l == nil {
		return
	}
	p.candidates, p.candidateIndex = l, len(*l)
	*l = append(*l, p)
}

func (l *replicaList) remove(p *replica) {
	if l == nil {
		return
	}
	end := len(*l) - 1
	last := (*l)[end]
	(*l)[p.candidateIndex] = last
	last.candidateIndex = p.candidateIndex
	(*l)[end] = nil
	*l = (*l)[:end]
	p.candidates = nil
}
