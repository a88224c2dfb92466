package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// tombstones is how many deletions are remembered for other processes. One that
// is further behind gets the whole state, some ten kilobytes.
const tombstones = 512

// dropUnnamed deletes the known records that a whole batch doesn't have.
func (r *Registrar) dropUnnamed(b Batch) bool {
	named := make(map[string]bool, len(b.Records))
	for _, rec := range b.Records {
		named[rec.Key] = true
	}
	changed := false
	for _, key := range slices.Collect(maps.Keys(r.records)) {
		if rec := r.records[key]; !named[key] && !rec.Deleted && rec.Revision <= b.At {
			changed = r.take(Record{Key: key, Revision: b.At, Deleted: true}, b) || changed
		}
	}
	// Deletions up to here may have gone unseen, so others can't be told of them.
	r.floor = max(r.floor, b.At)
	return changed
}

// Since gives what changed after a revision, for another process.
func (r *Registrar) Since(after uint64) Batch { return r.since(after, false) }

// SinceWithAges gives that and the records of all weights whose announcements have known times, for a
// process that found them in the store when it started.
func (r *Registrar) SinceWithAges(after uint64) Batch { return r.since(after, true) }

func (r *Registrar) since(after uint64, ages bool) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Batch{
		After: after, At: r.at, Age: r.Clock.Since(r.answered), Unconfirmed: r.answered.Sub(r.confirmed),
		OutageFor: r.outageFor(), Whole: after < r.floor, Lost: r.lost,
		Outages: r.regionOutages(),
	}
	if after > r.at {
		return b
	}
	now := r.Clock.Now()
	asked := question{after: after, whole: b.Whole, ages: ages}
	if r.selected == nil || r.selected.question != asked || now.Sub(r.selected.at) > selectedFor {
		r.selected = &selection{question: asked, at: now, records: r.selectRecords(asked)}
	}
	b.Records, b.RecordsAge = r.selected.records, now.Sub(r.selected.at)
	b.Age -= b.RecordsAge
	return b
}

// selectedFor is how long records selected for one process are used for others. Hundreds that start
// together ask the same few; to select and compress thousands of records for each takes seconds of a
// small VM's processor, and the questions run into their timeouts.
const selectedFor = 200 * time.Millisecond

// question is what another process asks for: all records, or those after a revision, and the ages of weights.
type question struct {
	after       uint64
	whole, ages bool
}

// selection is the records that were the answer to a question.
type selection struct {
	question
	at      time.Time
	records []Record
}

func (r *Registrar) selectRecords(q question) []Record {
	var records []Record
	for _, rec := range r.records {
		news := rec.Revision > q.after
		if q.whole {
			news = !rec.Deleted
		}
		if news || q.ages && !rec.Deleted && isDated(r.namings[rec.Key]) {
			rec.Age, rec.Namings = r.ageOf(rec), r.history(rec.Key)
			records = append(records, r.pack(rec))
		}
	}
	slices.SortFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	return records
}

func (r *Registrar) ageOf(rec Record) time.Duration {
	if rec.Deleted {
		return age(r.Clock.Now(), r.deleted[rec.Key])
	}
	return age(r.Clock.Now(), r.learned[rec.Key])
}

// prune forgets the oldest deletions.
func (r *Registrar) prune() {
	var gone []Record
	for _, rec := range r.records {
		if rec.Deleted {
			gone = append(gone, rec)
		}
	}
	if len(gone) <= tombstones {
		return
	}
	slices.SortFunc(gone, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, rec := range gone[:len(gone)-tombstones] {
		r.floor = max(r.floor, rec.Revision)
		delete(r.records, rec.Key)
		delete(r.learned, rec.Key)
		delete(r.deleted, rec.Key)
	}
}
