package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// Checker compares the results of callers with the counts of the stand-ins.
type Checker struct {
	// Services, Engines and Origins are the addresses of the stand-ins.
	Services []netip.AddrPort
	Engines  []netip.AddrPort
	Origins  []netip.AddrPort
	// Results are the results of all callers.
	Results []Result
	// Drained lists the stand-ins that should have received no new work.
	Drained Drained
}

// Drained lists stand-ins that should have received no new work from a given time on.
type Drained struct {
	Drained []struct {
		Address netip.AddrPort `json:"address"`
		Since   time.Time      `json:"since"`
	} `json:"drained"`
}

// Totals are the counts over all callers and stand-ins.
type Totals struct {
	// Requests, Whole, Refused and Unknown count model requests.
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Refused  int `json:"refused"`
	// Unknown includes the broken replies.
	Unknown  int `json:"unknown"`
	Bookings int `json:"bookings"`
	// Doubled counts bookings that ran more than once over all services.
	Doubled int `json:"doubled"`
	// FalseNotRun counts bookings that ran although their caller recorded them as
	// not run, or no caller recorded them.
	FalseNotRun int   `json:"falseNotRun"`
	Mixed       int   `json:"mixed"`
	OriginBytes int64 `json:"originBytes"`
	FellOver    int64 `json:"fellOver"`
	WorstCold   int   `json:"worstCold"`
	// LateWork counts drained stand-ins that accepted work after Drained.Since.
	LateWork int `json:"lateWork,omitempty"`
}

// standinCounts holds the counts of any kind of stand-in that Checker evaluates.
type standinCounts struct {
	ChunkBytes int64     `json:"chunkBytes"`
	FellOver   int64     `json:"fellOver"`
	WorstCold  int       `json:"worstCold"`
	Mixed      int       `json:"mixed"`
	LastWorkAt time.Time `json:"lastWorkAt"`
}

// Run fetches the counts of all stand-ins. It fails if one does not respond.
func (c *Checker) Run(ctx context.Context) (Totals, error) {
	var t Totals
	for _, r := range c.Results {
		t.addResult(r)
	}
	for _, a := range slices.Concat(c.Services, c.Engines, c.Origins) {
		if err := c.addStandin(ctx, &t, a); err != nil {
			return t, err
		}
	}
	runs, err := c.bookingRuns(ctx)
	if err != nil {
		return t, err
	}
	t.addRuns(runs, c.bookingOutcomes())
	return t, nil
}

func (t *Totals) addResult(r Result) {
	t.Requests += r.Requests
	t.Whole += r.Whole
	t.Refused += r.Refused
	t.Unknown += r.Unknown + r.Broken
	t.Bookings += r.Bookings
	t.Mixed += r.Mixed
}

func (c *Checker) addStandin(ctx context.Context, t *Totals, address netip.AddrPort) error {
	var n standinCounts
	if err := getJSON(ctx, address, "/admin/counts", &n); err != nil {
		return err
	}
	t.OriginBytes += n.ChunkBytes
	t.FellOver += n.FellOver
	t.WorstCold = max(t.WorstCold, n.WorstCold)
	t.Mixed += n.Mixed
	for _, d := range c.Drained.Drained {
		if d.Address == address && n.LastWorkAt.After(d.Since) {
			t.LateWork++
		}
	}
	return nil
}

// bookingRuns returns the number of runs of each booking over all services.
func (c *Checker) bookingRuns(ctx context.Context) (map[string]int64, error) {
	runs := map[string]int64{}
	for _, a := range c.Services {
		var answer struct {
			Bookings map[string]int64 `json:"bookings"`
		}
		if err := getJSON(ctx, a, "/admin/bookings", &answer); err != nil {
			return nil, err
		}
		for b, n := range answer.Bookings {
			runs[b] += n
		}
	}
	return runs, nil
}

func (c *Checker) bookingOutcomes() map[string]BookingOutcome {
	outcomes := map[string]BookingOutcome{}
	for _, r := range c.Results {
		maps.Copy(outcomes, r.BookingOutcomes)
	}
	return outcomes
}

func (t *Totals) addRuns(runs map[string]int64, outcomes map[string]BookingOutcome) {
	for b, n := range runs {
		if n > 1 {
			t.Doubled++
		}
		result := outcomes[b]
		if n > 0 && result != BookingDone && result != BookingUnknown {
			t.FalseNotRun++
		}
	}
}

func getJSON(ctx context.Context, address netip.AddrPort, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", address, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}
