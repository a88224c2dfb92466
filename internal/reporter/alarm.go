package reporter

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
)

// Alarm is something that operators have to look into, as /status shows it.
type Alarm struct {
	Kind    gossiper.AlarmKind `json:"kind"`
	Problem string             `json:"problem"`
	Count   int                `json:"count"`
	Last    time.Time          `json:"last"`
}

// Alarms puts a state's alarms into the form that operators get.
func Alarms(s *gossiper.State) []Alarm {
	var as []Alarm
	for _, a := range s.Alarms() {
		as = append(as, Alarm{Kind: a.Kind, Problem: a.Err.Error(), Count: a.Count, Last: a.Last})
	}
	return as
}
