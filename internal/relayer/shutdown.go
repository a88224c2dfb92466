package relayer

import "time"

// Shutdown tells of the end of an entry that leaves.
type Shutdown interface {
	// CutIn is in how long replies that are still under way are cut; false for an entry that stays.
	CutIn() (time.Duration, bool)
}

// cutIn is in how long the replies of this entry are cut; false for an entry that stays.
func (p *Placer) cutIn() (time.Duration, bool) {
	if p.Shutdown == nil {
		return 0, false
	}
	return p.Shutdown.CutIn()
}
