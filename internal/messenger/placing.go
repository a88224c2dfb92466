package messenger

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"
)

// Methods between entries and agents that place requests.
const (
	methodReserve  = "reserve"
	methodProgress = "progress"
)

// Reservation asks an agent for a place at its engine.
type Reservation struct {
	// Request names the reservation: the request's id, with the number that Numbered adds. Older
	// entries send the bare id.
	Request string `json:"request"`
	Model   string `json:"model,omitempty"`
	// StartedAt is the start of the engine that is meant, as its record states it; zero for any.
	StartedAt time.Time `json:"startedAt,omitzero"`
	// Prompt and Answer are the request's size in tokens, Answer as far as known.
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
	// MaxAnswer is the longest answer in tokens; 0 when not stated.
	MaxAnswer int `json:"maxAnswer,omitempty"`
	// PatienceMS is how long, in milliseconds, it may wait before its prompt is read.
	PatienceMS int64 `json:"patienceMs"`
	// Spare asks for a place only if the engine has some to spare.
	Spare bool `json:"spare,omitempty"`
	// LeftMS is the time that its caller still waits.
	LeftMS int64 `json:"leftMs"`
	// Limit is the rate limit that the engine last stated to this entry; nil for one that never
	// stated any.
	Limit *RateLimit `json:"limit,omitempty"`
	// Priority is the request's, from 0 for the most urgent to 9; nil at services where all requests have
	// the same. The fields below are set only with it.
	Priority *int `json:"priority,omitempty"`
	// Table is the version of the route table that the priority is from.
	Table uint64 `json:"table,omitempty"`
	// Workspace is whom the request is for; empty for a public route.
	Workspace string `json:"workspace,omitempty"`
	// Asked is how many engines were asked for the request before, and Refusals how many were found to have no
	// slot for it.
	Asked    int `json:"asked,omitempty"`
	Refusals int `json:"refusals,omitempty"`
	// BudgetMS is how long the request may wait at any engine; PatienceMS may be less where a better engine
	// may be left.
	BudgetMS int64 `json:"budgetMs,omitempty"`
	// Expected are the tokens that its answer should still have; 0 when nobody knows.
	Expected int `json:"expected,omitempty"`
	// PauseMS is the longest pause between two events that is on time, in milliseconds; 0 for none.
	PauseMS int64 `json:"pauseMs,omitempty"`
	// BeyondRamp is why the engine's slow start should not keep it out, as scheduler.Beyond.
	BeyondRamp string `json:"beyondRamp,omitempty"`
}

// RateLimit is a limit that an upstream states in its replies.
type RateLimit struct {
	// PerSecond is in requests from all entries together; 0 for a limit that is over.
	PerSecond float64 `json:"perSecond"`
	// AgeMS is how long ago, in milliseconds, that reply came.
	AgeMS int64 `json:"ageMs"`
}

// Verdict is an agent's answer to a reservation, with its load after it.
type Verdict struct {
	Granted bool `json:"granted,omitempty"`
	// Closed says why the engine takes nothing at all now.
	Closed string `json:"closed,omitempty"`
	// StartedAt is the start of the engine if it isn't the one that was meant, and ObservedMS how many
	// milliseconds ago the agent saw it.
	StartedAt  time.Time `json:"startedAt,omitzero"`
	ObservedMS int64     `json:"observedMs,omitempty"`
	// Version is that of the weights which the engine holds.
	Version uint64 `json:"version,omitempty"`
	// WaitMS is how long a request granted now waits before its prompt is read.
	WaitMS int64 `json:"waitMs"`
	// TakesMS is how long a request granted now should take, its wait included.
	TakesMS int64 `json:"takesMs,omitempty"`
	// FreeMS is in how many milliseconds there may be a place, for one not granted.
	FreeMS int64 `json:"freeMs,omitempty"`
	// Active are the requests that hold places, of Slots.
	Active int `json:"active"`
	Slots  int `json:"slots"`
	// Kept says for whom free slots are kept; empty when the request isn't refused for that.
	Kept string `json:"kept,omitempty"`
	// BeginWithinMS is for how much longer the weights may begin replies; 0 for any time.
	BeginWithinMS int64 `json:"beginWithinMs,omitempty"`
	// EndsLate tells that this request was refused as it could not end within the time its caller has
	// left. Another request may get a slot.
	EndsLate bool `json:"endsLate,omitempty"`
	// Pace is that of the engine, as its report states it; 0 for the normal one.
	Pace Hundredths `json:"pace,omitempty"`
	// Momentary is its momentary pace, as replies stated it; nil for the normal one.
	Momentary *MomentaryPace `json:"momentary,omitempty"`
	// Ramp is the engine's slow start; nil while there is none.
	Ramp *Ramp `json:"ramp,omitempty"`
}

// Ramp is the state of an engine's slow start.
type Ramp struct {
	// Limit is how many requests may hold slots now.
	Limit int `json:"limit"`
	// Held tells that the limit alone kept the request out, Well that the engine answers well so far.
	Held bool `json:"held,omitempty"`
	Well bool `json:"well,omitempty"`
}

// Hundredths is a factor in hundredths.
type Hundredths int

// InHundredths gives a factor in hundredths.
func InHundredths(factor float64) Hundredths { return Hundredths(math.Round(100 * factor)) }

// Factor is the factor; 0 when not stated.
func (h Hundredths) Factor() float64 { return float64(h) / 100 }

// MomentaryPace is by what factor an engine is slower than normal at a moment, as one of its replies stated.
type MomentaryPace struct {
	Pace Hundredths `json:"pace"`
	// AgeMS is how long ago, in milliseconds, that reply came.
	AgeMS int64 `json:"ageMs"`
}

// Age is AgeMS as a duration.
func (p MomentaryPace) Age() time.Duration { return time.Duration(p.AgeMS) * time.Millisecond }

// Progress tells an agent what became of reservations, by their names.
type Progress struct {
	// Started requests have their first event, Ended ones need no place any more.
	Started []string `json:"started,omitempty"`
	Ended   []string `json:"ended,omitempty"`
	// Pace is the engine's momentary pace, as the reply to a started request states it; nil when not stated.
	Pace *MomentaryPace `json:"pace,omitempty"`
	// Failed ones of Ended the engine failed to answer, Refused ones it refused.
	Failed  []string `json:"failed,omitempty"`
	Refused []string `json:"refused,omitempty"`
}

// Reserve asks an agent for a place.
func (c *Client) Reserve(ctx context.Context, r Reservation) (Verdict, error) {
	var v Verdict
	err := c.call(ctx, methodReserve, r, &v)
	return v, err
}

// SendProgress sends progress without waiting for an answer. Progress that is lost is made
// good by the engine's own count.
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

// numberMark stands between a request's id and the number of a reservation for it.
const numberMark = "#"

// Numbered names one of several reservations for a request: late progress of one must not be taken for
// progress of another. The number is part of the name, so that agents of an older version tell the
// reservations apart as well.
func Numbered(request string, number uint32) string {
	return request + numberMark + strconv.FormatUint(uint64(number), 36)
}

// RequestID is the id of the request that a reservation is for.
func (r Reservation) RequestID() string {
	if i := strings.LastIndex(r.Request, numberMark); i >= 0 {
		return r.Request[:i]
	}
	return r.Request
}

// Pause is PauseMS as a duration.
func (r Reservation) Pause() time.Duration { return time.Duration(r.PauseMS) * time.Millisecond }

// Patience is PatienceMS as a duration.
func (r Reservation) Patience() time.Duration { return time.Duration(r.PatienceMS) * time.Millisecond }

// Budget is BudgetMS as a duration.
func (r Reservation) Budget() time.Duration { return time.Duration(r.BudgetMS) * time.Millisecond }

// Observed is ObservedMS as a duration.
func (v Verdict) Observed() time.Duration { return time.Duration(v.ObservedMS) * time.Millisecond }

// Left is LeftMS as a duration.
func (r Reservation) Left() time.Duration { return time.Duration(r.LeftMS) * time.Millisecond }

// Age is AgeMS as a duration.
func (l RateLimit) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Wait is WaitMS as a duration.
func (v Verdict) Wait() time.Duration { return time.Duration(v.WaitMS) * time.Millisecond }

// Takes is TakesMS as a duration.
func (v Verdict) Takes() time.Duration { return time.Duration(v.TakesMS) * time.Millisecond }

// Free is FreeMS as a duration.
func (v Verdict) Free() time.Duration { return time.Duration(v.FreeMS) * time.Millisecond }
