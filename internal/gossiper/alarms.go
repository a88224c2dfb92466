package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// AlarmKind is the name of an alarm in logs, metrics and status output.
type AlarmKind string

// The kinds of alarm.
const (
	AlarmRolledBack AlarmKind = "rolledBack"
	AlarmEmptyStore AlarmKind = "emptyStore"
	AlarmFork       AlarmKind = "fork"
	AlarmBadRecord  AlarmKind = "badRecord"
)

// Alarm counts one kind of fault that never occurs in a sound deployment and
// needs an operator's attention.
type Alarm struct {
	Kind AlarmKind
	// Err is the latest error of the kind.
	Err error
	// Count is the number of occurrences, Last the time of the latest.
	Count int
	Last  time.Time
}

// Alarms returns the alarms since the start, sorted by kind.
func (s *State) Alarms() []Alarm {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Alarm
	for _, a := range s.alarms {
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b Alarm) int { return cmp.Compare(a.Kind, b.Kind) })
	return list
}

// raiseAlarm counts the error and returns it.
func (s *State) raiseAlarm(err error) error {
	if s.alarms == nil {
		s.alarms = map[AlarmKind]*Alarm{}
	}
	kind := alarmKindOf(err)
	a := s.alarms[kind]
	if a == nil {
		a = &Alarm{Kind: kind}
		s.alarms[kind] = a
	}
	a.Err = err
	a.Count++
	a.Last = s.Clock.Now()
	return err
}

func alarmKindOf(err error) AlarmKind {
	switch err.(type) { //nolint:errorlint // only called with errors made here, never wrapped
	case *RolledBackError:
		return AlarmRolledBack
	case *EmptyStoreError:
		return AlarmEmptyStore
	case *ForkError:
		return AlarmFork
	default:
		return AlarmBadRecord
	}
}
