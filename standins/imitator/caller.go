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

// BookingOutcome is the final result of a booking as its caller knows it.
type BookingOutcome string

// Values of BookingOutcome.
const (
	BookingDone    BookingOutcome = "done"
	BookingNotRun  BookingOutcome = "notRun"
	BookingUnknown BookingOutcome = "unknown"
)

const (
	maxRetries        = 5
	maxLatency        = time.Hour
	defaultRetryDelay = 200 * time.Millisecond // before a retry without Retry-After
	maxRetryDelay     = 5 * time.Second
	promptTokens      = 24 // tokens requested by each model request
)

// Caller simulates callers of the system and checks each response.
type Caller struct {
	// Clock measures latencies and pauses. Nil means the real clock.
	Clock clock.Clock
	// Entries are the addresses from which the list of entries is requested.
	Entries []netip.AddrPort
	// Requests and Bookings are the numbers of model requests and bookings to make,
	// unless Duration is set. Bookings are interleaved with the model requests.
	Requests int
	Bookings int
	// Workspace, Model and Service are sent with the calls.
	Workspace string
	Model     string
	Service   string
	// Concurrency is the number of concurrent calls. Zero means one.
	Concurrency int
	// Duration, if set, is how long to make calls. Requests and Bookings are then
	// the shares of each kind; if both are zero, only model requests are made.
	Duration time.Duration
	// Timeout is the time limit of a call. Zero means a minute.
	Timeout time.Duration
	// Seed determines the prompts and is part of the booking names, so callers of
	// the same services need different seeds.
	Seed uint64

	mu        sync.Mutex
	result    Result
	latencies *hdrhistogram.Histogram
}

// Result holds the counts of a Caller. Each request is one of whole, refused,
// unknown and broken; mixed ones are counted in addition.
type Result struct {
	Requests        int                       `json:"requests"`
	Whole           int                       `json:"whole"`
	Refused         int                       `json:"refused"`
	Unknown         int                       `json:"unknown"`
	Broken          int                       `json:"broken"`
	Mixed           int                       `json:"mixed"`
	Bookings        int                       `json:"bookings"`
	BookingsDone    int                       `json:"bookingsDone"`
	BookingsRefused int                       `json:"bookingsRefused"`
	BookingsUnknown int                       `json:"bookingsUnknown"`
	P50Ms           float64                   `json:"p50Ms"`
	P99Ms           float64                   `json:"p99Ms"`
	BookingOutcomes map[string]BookingOutcome `json:"fates"`
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

// Run makes the calls and returns their results. When ctx ends, it starts no
// further calls but completes those in progress.
func (c *Caller) Run(ctx context.Context) Result {
	c.Clock = clockOrReal(c.Clock)
	if c.Timeout == 0 {
		c.Timeout = time.Minute
	}
	c.result = Result{BookingOutcomes: map[string]BookingOutcome{}}
	c.latencies = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	jobs := make(chan job)
	go c.produceJobs(ctx, jobs)
	var workers sync.WaitGroup
	for i := range max(c.Concurrency, 1) {
		workers.Go(func() { c.runJobs(i, jobs) })
	}
	workers.Wait()
	c.result.P50Ms = float64(c.latencies.ValueAtQuantile(50)) / 1000
	c.result.P99Ms = float64(c.latencies.ValueAtQuantile(99)) / 1000
	return c.result
}

// produceJobs sends the jobs to the workers, with the bookings spread evenly among
// the model requests.
func (c *Caller) produceJobs(ctx context.Context, jobs chan<- job) {
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

func (c *Caller) runJobs(number int, jobs <-chan job) {
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
			result := s.book(name)
			c.countBooking(name, result)
		} else {
			c.countReply(s.generate(j.number))
		}
		c.recordLatency(c.Clock.Since(started))
	}
}

func (c *Caller) recordLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	if err := c.latencies.RecordValue(us); err != nil {
		klog.ErrorS(err, "latency not recorded")
	}
}

func (c *Caller) countBooking(name string, result BookingOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Bookings++
	c.result.BookingOutcomes[name] = result
	switch result {
	case BookingDone:
		c.result.BookingsDone++
	case BookingNotRun:
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
