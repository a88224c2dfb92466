package registrar

// StoreAsked notes that a call to the store begins.
func (r *Registrar) StoreAsked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = r.Clock.Now()
}

// StoreLost notes that the store could not be reached just now.
func (r *Registrar) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = r.Clock.Now()
	r.tried = r.asked
	if r.asked.IsZero() {
		r.tried = r.outage
	}
	r.lost = true
	r.change.Wake()
}

// StoreFound notes that the store answered.
func (r *Registrar) StoreFound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
}

// Lost tells whether the store could not be reached when it was last asked.
func (r *Registrar) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
