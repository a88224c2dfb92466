package detector

// WatchesSignals reports whether signals are dated.
func (d *Detector) WatchesSignals() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probes.active
}

// ReceivedStop reports whether a signal to stop was received.
func (d *Detector) ReceivedStop() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probes.stop != nil
}
