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
	// Refused requests were refused at their last try, and Failed ones broke off or ran out
	// of time.
	Refused
	Failed
)

// Request is a request and what became of it.
type Request struct {
	Number                         int
	Kind, Workspace, FailureDomain string
	// At is when the caller came.
	At             time.Duration
	Prompt, Answer int
	Outcome        Outcome
	// Refusals is how often it was refused, and Ends how often it ended; once, if all is well.
	Refusals, Ends int
	// First is when its first event reached the caller, Pause the longest between two, Took
	// the whole time; from the caller's first try.
	First, Pause, Took time.Duration
	// Owed is what it is worth in time, Earned what was earned.
	Owed, Earned float64
	// Size is its class by size within its kind.
	Size string
	// atStarted tells that it was sent to an engine shortly after its start.
	sentAfterStart bool
}

// The classes by size.
const (
	SizeLargest = "largest tenth"
	SizeLarge   = "fifth below"
	SizeRest    = "others"
)

// Report is what came of an experiment.
type Report struct {
	Experiment *Experiment
	Seed       uint64
	Requests   []*Request
	// Disturbed counts requests that came to an engine from an entry that it had told to rest, or that
	// it leaves.
	Disturbed int
	// Torn counts replies that engines broke off inside an event, and Twice requests that failed at the next
	// engine as well. Cut callers had a part of their answer and saw that it was cut; Short ones had an answer that
	// ended as complete without all its events.
	Torn, Twice, Cut, Short int
	// Moved counts streams that went on at another engine as they would have ended too late.
	Moved int
	// Misdirected counts requests that came to another engine than was meant.
	Misdirected int
	// ColdExcess counts requests beyond the bound of cold engines.
	ColdExcess int
	// FatalSent is how many requests with a part that crashes engines reached one, FatalLate how many of
	// these their callers sent later than three seconds after the fifth crash of Crashes, and FatalRefused how
	// many callers of such requests were refused.
	FatalSent, FatalLate, FatalRefused, Crashes int
	// Blamed are the parts of prompts that any entry has come to refuse, sorted.
	Blamed []string
	// Starts is what became of requests at engines that had just started.
	Starts Starts
	// Total is over all requests.
	Total Row
	// Tables are by kind, workspace, size and failure domain.
	Tables []Table
	// Seconds are by the second in which callers came.
	Seconds []Row
}

// Table are rows by something that requests differ in.
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

// Worth is the share earned of what was owed.
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
	// A generation is worth baseShare, and sizeShare times its size against the mean of its
	// kind, at most mostWorth times the kind's worth. An answer's tokens count answerWeight
	// times.
	baseShare      = 0.3
	sizeShare      = 0.7
	maxWorthFactor = 4
	answerWeight   = 10
	// largestShare and largeShare are the parts of a kind's requests in the classes of large
	// ones.
	largestShare = 0.1
	largeShare   = 0.2
)

// sum works out worth, classes and tables.
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

// value works out worth and class of the requests of a kind.
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
