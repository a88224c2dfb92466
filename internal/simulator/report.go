package simulator

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes. The zero value is a request that has not ended.
const (
	Open Outcome = iota
	// InTime and Late requests got their whole answer.
	InTime
	Late
	// Refused requests were refused at their last try, and Failed ones broke off or timed
	// out.
	Refused
	Failed
)

// Request is a request and its course.
type Request struct {
	Number                         int
	Kind, Workspace, FailureDomain string
	// At is when the caller arrived.
	At             time.Duration
	Prompt, Answer int
	Outcome        Outcome
	// Refusals is how often it was refused, and Ends how often it ended, which must be once.
	Refusals, Ends int
	// First is when its first event reached the caller, Pause the longest between two, Took
	// the whole time; from the caller's first try.
	First, Pause, Took time.Duration
	// Owed is its worth in time, Earned the worth earned.
	Owed, Earned float64
	// Size is its class by size within its kind.
	Size string
	// sentAfterStart is set if it was sent to an engine shortly after its start.
	sentAfterStart bool
}

// The classes by size.
const (
	SizeLargest = "largest tenth"
	SizeLarge   = "fifth below"
	SizeRest    = "others"
)

// Report is the result of an experiment with one seed.
type Report struct {
	Experiment *Experiment
	Seed       uint64
	Requests   []*Request
	// Disturbed counts requests that reached an engine from an entry that it had asked for a backoff, or that
	// had its statement of leaving.
	Disturbed int
	// Torn counts replies that engines broke off inside an event, and Twice requests that failed at the next
	// engine as well. Cut callers had a part of their answer and saw that it was cut; Short ones had an answer that
	// ended as complete without all its events.
	Torn, Twice, Cut, Short int
	// Moved counts streams that continued at another engine because they would have ended too late.
	Moved int
	// Misdirected counts requests that reached another engine than the intended one.
	Misdirected int
	// ColdExcess counts requests beyond the bound of cold engines.
	ColdExcess int
	// FatalSent is how many requests with a part that crashes engines reached one, FatalLate how many of
	// these their callers sent later than three seconds after the fifth crash of Crashes, and FatalRefused how
	// many callers of such requests were refused.
	FatalSent, FatalLate, FatalRefused, Crashes int
	// Blamed are the parts of prompts that any entry refuses at the end, sorted.
	Blamed []string
	// Starts counts requests at engines that had just started.
	Starts Starts
	// Total is over all requests.
	Total Row
	// Tables are by kind, workspace, size and failure domain.
	Tables []Table
	// Seconds are by the second in which callers arrived.
	Seconds []Row
}

// Table holds rows by an attribute of requests.
type Table struct {
	By   string
	Rows []Row
}

// Row counts requests.
type Row struct {
	Name                                 string
	Asked, InTime, Late, Refused, Failed int
	// RefusedAgain were refused at more than one try.
	RefusedAgain int
	Owed, Earned float64
}

// Worth returns the earned share of the worth owed.
func (r Row) Worth() float64 {
	if r.Owed == 0 {
		return 0
	}
	return r.Earned / r.Owed
}

func (r *Row) add(q *Request) {
	r.Asked++
	switch q.Outcome {
	case InTime:
		r.InTime++
	case Late:
		r.Late++
	case Refused:
		r.Refused++
	case Open, Failed:
		r.Failed++
	}
	if q.Refusals > 1 {
		r.RefusedAgain++
	}
	r.Owed += q.Owed
	r.Earned += q.Earned
}

const (
	// A generation's worth is baseShare, and sizeShare times its size relative to the mean of its
	// kind, at most maxWorthFactor times the kind's worth. An answer's tokens count answerWeight
	// times.
	baseShare      = 0.3
	sizeShare      = 0.7
	maxWorthFactor = 4
	answerWeight   = 10
	// largestShare and largeShare are the shares of a kind's requests in the classes of large
	// ones.
	largestShare = 0.1
	largeShare   = 0.2
)

// summarize computes worth, classes and tables.
func (r *Report) summarize() {
	for i := range r.Experiment.Kinds {
		r.computeWorth(&r.Experiment.Kinds[i])
	}
	r.sumStarts()
	addTable := func(title string, name func(*Request) string) {
		rows := map[string]*Row{}
		for _, q := range r.Requests {
			row := rows[name(q)]
			if row == nil {
				row = &Row{Name: name(q)}
				rows[name(q)] = row
			}
			row.add(q)
		}
		t := Table{By: title}
		for _, row := range rows {
			t.Rows = append(t.Rows, *row)
		}
		slices.SortFunc(t.Rows, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
		r.Tables = append(r.Tables, t)
	}
	addTable("kind", func(q *Request) string { return q.Kind })
	addTable("workspace", func(q *Request) string { return q.Workspace })
	addTable("size", func(q *Request) string { return q.Size })
	addTable("failure domain", func(q *Request) string { return q.FailureDomain })
	r.Total.Name = "all"
	r.Seconds = make([]Row, int(r.Experiment.Length/time.Second)+1)
	for _, q := range r.Requests {
		r.Total.add(q)
		r.Seconds[min(int(q.At/time.Second), len(r.Seconds)-1)].add(q)
	}
}

// computeWorth computes worth and class of the requests of a kind.
func (r *Report) computeWorth(k *Kind) {
	var requests []*Request
	mean := 0.0
	for _, q := range r.Requests {
		if q.Kind == k.Name {
			requests = append(requests, q)
			mean += q.size()
		}
	}
	mean /= max(1, float64(len(requests)))
	slices.SortStableFunc(requests, func(a, b *Request) int { return cmp.Compare(b.size(), a.size()) })
	for i, q := range requests {
		factor := min(maxWorthFactor, baseShare+sizeShare*q.size()/mean)
		q.Owed = k.Worth * factor
		switch q.Outcome {
		case InTime:
			q.Earned = q.Owed
		case Late:
			q.Earned = k.LateWorth * factor
		}
		switch rank := float64(i) / float64(len(requests)); {
		case rank < largestShare:
			q.Size = SizeLargest
		case rank < largestShare+largeShare:
			q.Size = SizeLarge
		default:
			q.Size = SizeRest
		}
	}
}

func (q *Request) size() float64 { return float64(q.Prompt + answerWeight*q.Answer) }
