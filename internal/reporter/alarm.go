package reporter

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
)

// Alarm is a problem that operators have to investigate, as shown by /status.
type Alarm struct {
	Kind    gossiper.AlarmKind `json:"kind"`
	Problem string             `json:"problem"`
	Count   int                `json:"count"`
	Last    time.Time          `json:"last"`
}

// Alarms converts a state's alarms to the form shown to operators.
func Alarms(s *gossiper.State) []Alarm {
	var as []Alarm
	for _, a := range s.Alarms() {
		as = append(as, Alarm{Kind: a.Kind, Problem: a.Err.Error(), Count: a.Count, Last: a.Last})
	}
	return as
}
