package syncer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// Guards against a report that counts as just sent, as the process that replied before it ended soon after its start and
// the one that started at its address read the report late.
func TestReportThatFollowsAReplyOfAShortLivedProcess(t *testing.T) {
	const life, unread = 2 * time.Second, 4 * time.Second
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	start := func() (*registrar.Registrar, func(messenger.RecordsQuery) registrar.Batch) {
		entry := &registrar.Registrar{Clock: c, Decode: decodeFleet}
		answer := syncer.RecordsHandler(entry, c)
		entry.Apply(registrar.Batch{Whole: true, At: 1, Age: time.Minute, Records: []registrar.Record{{Key: "weights/m", Value: []byte("1"), Revision: 1}}})
		entry.StoreCallFailed()
		return entry, func(q messenger.RecordsQuery) registrar.Batch { return answer(t.Context(), q) }
	}
	_, answer := start()
	c.Step(100 * time.Millisecond)
	reply := answer(messenger.RecordsQuery{After: 1})
	must.Positive(t, reply.SentAt)
	repliedAt := c.Now()
	c.Step(life)
	entry, answer := start()
	report := messenger.WeightsReport{Batch: registrar.Batch{After: 1, At: 1}, ReplySentBy: reply.SentBy, ReplySentAt: reply.SentAt, ReplyAge: c.Since(repliedAt)}
	c.Step(unread)
	answer(messenger.RecordsQuery{After: 1, Weights: &report})
	must.LessEq(t, entry.Confirmation().StoreAge, unread)
}
