package imitator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Fate is what a caller knows of a booking in the end.
type Fate string

// The fates of a booking.
const (
	FateDone    Fate = "done"
	FateNotRun  Fate = "notRun"
	FateUnknown Fate = "unknown"
)

const (
	maxRetries   = 5
	maxLatency   = time.Hour
	defaultPause = 200 * time.Millisecond // before a retry without Retry-After
	maxPause     = 5 * time.Second
	promptTokens = 24 // tokens asked for in each model request
)

// Caller plays callers of the system, and checks each answer.
type Caller struct {
	// Clock measures latencies and pauses. Nil means the real clock.
	Clock clock.Clock
	// Entries are the addresses asked for the list of entries.
	Entries []netip.AddrPort
	// Requests and Bookings are the numbers to make of each, unless Duration is
	// set. Bookings are made alongside the model requests.
	Requests int
	Bookings int
	// Workspace, Model and Service are named in the calls.
	Workspace string
	Model     string
	Service   string
	// Concurrency is the number of calls at once. Zero means one.
	Concurrency int
	// Duration, if set, is how long to go on calling. Then Requests and Bookings
	// are the shares of each kind; both zero mean model requests only.
	Duration time.Duration
	// Timeout is how long a call may take. Zero means a minute.
	Timeout time.Duration
	// Seed fixes prompts, and is part of the booking names: callers against the
	// same services need different seeds.
	Seed uint64

	mu        sync.Mutex
	result    Result
	latencies *hdrhistogram.Histogram
}

// Result is what a Caller found. Each request is one of whole, refused, unknown
// and broken; mixed ones are counted besides.
type Result struct {
	Requests        int             `json:"requests"`
	Whole           int             `json:"whole"`
	Refused         int             `json:"refused"`
	Unknown         int             `json:"unknown"`
	Broken          int             `json:"broken"`
	Mixed           int             `json:"mixed"`
	Bookings        int             `json:"bookings"`
	BookingsDone    int             `json:"bookingsDone"`
	BookingsRefused int             `json:"bookingsRefused"`
	BookingsUnknown int             `json:"bookingsUnknown"`
	P50Ms           float64         `json:"p50Ms"`
	P99Ms           float64         `json:"p99Ms"`
	Fates           map[string]Fate `json:"fates"`
}

// Summary returns the result in one line.
func (r Result) Summary() string {
	return fmt.Sprintf("requests %d: whole %d, refused %d, unknown %d, broken %d, mixed %d; "+
		"bookings %d: done %d, refused %d, unknown %d; p50 %.1f ms, p99 %.1f ms",
		r.Requests, r.Whole, r.Refused, r.Unknown, r.Broken, r.Mixed,
		r.Bookings, r.BookingsDone, r.BookingsRefused, r.BookingsUnknown, r.P50Ms, r.P99Ms)
}

// job is one call to make.
type job struct {
	booking bool
	number  int
}

// Run makes the calls and returns what came of them. When ctx ends it makes no
// further calls, but follows those under way to their end.
func (c *Caller) Run(ctx context.Context) Result {
	c.Clock = clockOr(c.Clock)
	if c.Timeout == 0 {
		c.Timeout = time.Minute
	}
	c.result = Result{Fates: map[string]Fate{}}
	c.latencies = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	jobs := make(chan job)
	go c.plan(ctx, jobs)
	var workers sync.WaitGroup
	for i := range max(c.Concurrency, 1) {
		workers.Go(func() { c.work(i, jobs) })
	}
	workers.Wait()
	c.result.P50Ms = float64(c.latencies.ValueAtQuantile(50)) / 1000
	c.result.P99Ms = float64(c.latencies.ValueAtQuantile(99)) / 1000
	return c.result
}

// plan hands out the calls, the bookings evenly among the model requests.
func (c *Caller) plan(ctx context.Context, jobs chan<- job) {
	defer close(jobs)
	requests, bookings := c.Requests, c.Bookings
	if c.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Duration)
		defer cancel()
		if requests+bookings == 0 {
			requests = 1
		}
	}
	for n := 0; c.Duration > 0 || n < requests+bookings; n++ {
		total := requests + bookings
		j := job{number: n, booking: (n+1)*bookings/total > n*bookings/total}
		select {
		case jobs <- j:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Caller) work(number int, jobs <-chan job) {
	d := &net.Dialer{Timeout: dialTimeout}
	s := &session{
		caller: c,
		random: rand.New(rand.NewPCG(c.Seed, uint64(number))),
		http:   &http.Client{Transport: &http.Transport{DialContext: d.DialContext}},
	}
	defer s.http.CloseIdleConnections()
	for j := range jobs {
		started := c.Clock.Now()
		if j.booking {
			name := fmt.Sprintf("b-%d-%d", c.Seed, j.number)
			fate := s.book(name)
			c.countBooking(name, fate)
		} else {
			c.countReply(s.ask(j.number))
		}
		c.countLatency(c.Clock.Since(started))
	}
}

func (c *Caller) countLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	if err := c.latencies.RecordValue(us); err != nil {
		klog.ErrorS(err, "latency not recorded")
	}
}

func (c *Caller) countBooking(name string, fate Fate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Bookings++
	c.result.Fates[name] = fate
	switch fate {
	case FateDone:
		c.result.BookingsDone++
	case FateNotRun:
		c.result.BookingsRefused++
	default:
		c.result.BookingsUnknown++
	}
}

func (c *Caller) countReply(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Requests++
	if r.mixed {
		c.result.Mixed++
	}
	switch {
	case r.whole:
		c.result.Whole++
	case r.outcome == outcomeNotRun:
		c.result.Refused++
	case r.broken:
		c.result.Broken++
	default:
		c.result.Unknown++
	}
}
