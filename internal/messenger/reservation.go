package messenger

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"
)

// Methods by which entries place requests at agents.
const (
	methodReserve  = "reserve"
	methodProgress = "progress"
)

// Reservation requests a slot at an agent's engine.
type Reservation struct {
	// Request identifies the reservation: the request's id with the number that ReservationName appends. Older
	// entries send the plain id.
	Request string `json:"request"`
	Model   string `json:"model,omitempty"`
	// StartedAt is the start of the intended engine, as its record states it; zero for any.
	StartedAt time.Time `json:"startedAt,omitzero"`
	// Prompt and Answer are the request's size in tokens, Answer as far as known.
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
	// MaxAnswer is the longest answer in tokens; 0 when not stated.
	MaxAnswer int `json:"maxAnswer,omitempty"`
	// WaitLimitMS is how long, in milliseconds, the request may wait before its prompt is read.
	WaitLimitMS int64 `json:"patienceMs"`
	// Spare requests a slot only if the engine has spare ones.
	Spare bool `json:"spare,omitempty"`
	// TimeLeftMS is how much longer the request's caller waits, in milliseconds.
	TimeLeftMS int64 `json:"leftMs"`
	// Limit is the rate limit that the engine last reported to this entry; nil if it never
	// reported one.
	Limit *RateLimit `json:"limit,omitempty"`
	// Priority is the request's priority, from 0 for the most urgent to 9; nil at services where all requests
	// have the same. The fields below are set only with it.
	Priority *int `json:"priority,omitempty"`
	// Table is the version of the route table that defines the priority.
	Table uint64 `json:"table,omitempty"`
	// Workspace is the workspace of the request; empty for a public route.
	Workspace string `json:"workspace,omitempty"`
	// Asked is the number of engines that the request was sent to before, and Refusals the number of those
	// without a slot for it.
	Asked    int `json:"asked,omitempty"`
	Refusals int `json:"refusals,omitempty"`
	// BudgetMS is how long the request may wait at any engine; WaitLimitMS may be less while better engines
	// remain.
	BudgetMS int64 `json:"budgetMs,omitempty"`
	// Expected is the expected number of remaining tokens of the answer; 0 when unknown.
	Expected int `json:"expected,omitempty"`
	// PauseMS is the longest allowed pause between two events, in milliseconds; 0 for none.
	PauseMS int64 `json:"pauseMs,omitempty"`
	// BeyondRamp is the reason to ignore the limit of the engine's slow start, as scheduler.Beyond.
	BeyondRamp string `json:"beyondRamp,omitempty"`
}

// RateLimit is a limit that an upstream states in its replies.
type RateLimit struct {
	// PerSecond is in requests of all entries together; 0 for a limit that has ended.
	PerSecond float64 `json:"perSecond"`
	// AgeMS is the time since that reply, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// Decision is an agent's reply to a reservation, with its load afterwards.
type Decision struct {
	Granted bool `json:"granted,omitempty"`
	// ClosedReason is why the engine accepts no requests at all.
	ClosedReason string `json:"closed,omitempty"`
	// StartedAt is the start of the engine if it isn't the intended one, and ObservedMS the time
	// in milliseconds since the agent detected it.
	StartedAt  time.Time `json:"startedAt,omitzero"`
	ObservedMS int64     `json:"observedMs,omitempty"`
	// Version is the version of the weights that the engine holds.
	Version uint64 `json:"version,omitempty"`
	// WaitMS is how long a request granted now waits before its prompt is read.
	WaitMS int64 `json:"waitMs"`
	// DurationMS is the expected duration of a request granted now, including its wait.
	DurationMS int64 `json:"takesMs,omitempty"`
	// FreeInMS is the estimated time in milliseconds until a slot is free, for a refused request.
	FreeInMS int64 `json:"freeMs,omitempty"`
	// Active is the number of occupied slots, out of Slots.
	Active int `json:"active"`
	Slots  int `json:"slots"`
	// KeptFor is for whom free slots are kept; empty unless the request is refused for that.
	KeptFor string `json:"kept,omitempty"`
	// StartWithinMS is for how much longer the weights may start replies; 0 for no limit.
	StartWithinMS int64 `json:"beginWithinMs,omitempty"`
	// EndsLate states that this request was refused because it could not end within its caller's remaining
	// time. Another request may get a slot.
	EndsLate bool `json:"endsLate,omitempty"`
	// Pace is the engine's pace, as its report states it; 0 for the normal one.
	Pace Hundredths `json:"pace,omitempty"`
	// Momentary is the engine's momentary pace, as replies stated it; nil for the normal one.
	Momentary *MomentaryPace `json:"momentary,omitempty"`
	// Ramp is the engine's slow start; nil unless it is in progress.
	Ramp *Ramp `json:"ramp,omitempty"`
}

// Ramp is the state of an engine's slow start.
type Ramp struct {
	// Limit is the current limit of occupied slots.
	Limit int `json:"limit"`
	// Limited states that only the limit prevented the grant, Healthy that the engine has answered well so far.
	Limited bool `json:"held,omitempty"`
	Healthy bool `json:"well,omitempty"`
}

// Hundredths is a factor in hundredths.
type Hundredths int

// InHundredths converts a factor to hundredths.
func InHundredths(factor float64) Hundredths { return Hundredths(math.Round(100 * factor)) }

// Factor returns the factor; 0 when not stated.
func (h Hundredths) Factor() float64 { return float64(h) / 100 }

// MomentaryPace is the factor by which an engine was slower than normal when it sent a reply.
type MomentaryPace struct {
	Pace Hundredths `json:"pace"`
	// AgeMS is the time since that reply, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// Age returns AgeMS as a duration.
func (p MomentaryPace) Age() time.Duration { return time.Duration(p.AgeMS) * time.Millisecond }

// Progress reports the state of reservations to an agent, by their names.
type Progress struct {
	// Started requests have received their first event, Ended ones have released their slots.
	Started []string `json:"started,omitempty"`
	Ended   []string `json:"ended,omitempty"`
	// Pace is the engine's momentary pace, as the reply to a started request states it; nil when not stated.
	Pace *MomentaryPace `json:"pace,omitempty"`
	// Failed are those of Ended that the engine failed to answer, Refused those that it refused.
	Failed  []string `json:"failed,omitempty"`
	Refused []string `json:"refused,omitempty"`
}

// Reserve requests a slot from an agent.
func (c *Client) Reserve(ctx context.Context, r Reservation) (Decision, error) {
	var v Decision
	err := c.call(ctx, methodReserve, r, &v)
	return v, err
}

// SendProgress sends progress without waiting for a reply. The engine's own count
// compensates for lost progress.
func (c *Client) SendProgress(ctx context.Context, p Progress) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	if err := conn.Notify(ctx, methodProgress, p); err != nil {
		c.drop(conn)
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return nil
}

// numberSeparator separates a request's id from the number of a reservation for it.
const numberSeparator = "#"

// ReservationName returns the name of one of several reservations for a request: late progress of one must not
// be applied to another. The number is part of the name, so that agents of an older version
// distinguish the reservations as well.
func ReservationName(request string, number uint32) string {
	return request + numberSeparator + strconv.FormatUint(uint64(number), 36)
}

// RequestID returns the id of the request of a reservation.
func (r Reservation) RequestID() string {
	if i := strings.LastIndex(r.Request, numberSeparator); i >= 0 {
		return r.Request[:i]
	}
	return r.Request
}

// Pause returns PauseMS as a duration.
func (r Reservation) Pause() time.Duration { return time.Duration(r.PauseMS) * time.Millisecond }

// WaitLimit returns WaitLimitMS as a duration.
func (r Reservation) WaitLimit() time.Duration {
	return time.Duration(r.WaitLimitMS) * time.Millisecond
}

// Budget returns BudgetMS as a duration.
func (r Reservation) Budget() time.Duration { return time.Duration(r.BudgetMS) * time.Millisecond }

// Observed returns ObservedMS as a duration.
func (v Decision) Observed() time.Duration { return time.Duration(v.ObservedMS) * time.Millisecond }

// TimeLeft returns TimeLeftMS as a duration.
func (r Reservation) TimeLeft() time.Duration { return time.Duration(r.TimeLeftMS) * time.Millisecond }

// Age returns AgeMS as a duration.
func (l RateLimit) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Wait returns WaitMS as a duration.
func (v Decision) Wait() time.Duration { return time.Duration(v.WaitMS) * time.Millisecond }

// Duration returns DurationMS as a duration.
func (v Decision) Duration() time.Duration { return time.Duration(v.DurationMS) * time.Millisecond }

// FreeIn returns FreeInMS as a duration.
func (v Decision) FreeIn() time.Duration { return time.Duration(v.FreeInMS) * time.Millisecond }
