package syncer_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// Guards against a report that was in transit for long, as its reader or its sender was suspended, and against one that
// follows a reply of another process at the same address: the weights would look freshly confirmed.
func TestLateReportOfWeightsCountsFromTheReplyBefore(t *testing.T) {
	const transit = 5 * time.Second
	for name, tc := range map[string]struct {
		alter func(*messenger.WeightsReport)
		want  time.Duration
	}{
		"late":                          {func(*messenger.WeightsReport) {}, transit},
		"sent later":                    {func(r *messenger.WeightsReport) { r.ReplyAge = time.Second }, transit - time.Second},
		"before the reply":              {func(r *messenger.WeightsReport) { r.Batch.Age = 2 * time.Second }, transit + 2*time.Second},
		"reply of the future":           {func(r *messenger.WeightsReport) { r.ReplySentAt += 2 * transit }, time.Minute},
		"greatest reply":                {func(r *messenger.WeightsReport) { r.ReplySentAt = math.MaxInt64 }, time.Minute},
		"without a reply":               {func(r *messenger.WeightsReport) { r.ReplySentAt = 0 }, time.Minute},
		"reply of another process":      {func(r *messenger.WeightsReport) { r.ReplySentBy++ }, time.Minute},
		"negative reply":                {func(r *messenger.WeightsReport) { r.ReplySentAt = -time.Hour }, time.Minute},
		"clocks that drift apart":       {func(r *messenger.WeightsReport) { r.ReplyAge = transit + 5*time.Millisecond }, 0},
		"reply of long ago":             {func(r *messenger.WeightsReport) { r.ReplySentAt, r.ReplyAge = time.Second, 15*time.Second }, time.Minute},
		"reply older than the process":  {func(r *messenger.WeightsReport) { r.ReplyAge = time.Hour }, time.Minute},
		"reply that arrives afterwards": {func(r *messenger.WeightsReport) { r.ReplyAge = -time.Second }, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			entry := &registrar.Registrar{Clock: c, Decode: decodeFleet}
			answer := syncer.RecordsHandler(entry, c)
			entry.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "weights/m", Value: []byte("1"), Revision: 1}}})
			must.Zero(t, answer(t.Context(), messenger.RecordsQuery{}).SentAt)
			c.Step(time.Minute - transit)
			entry.StoreCallFailed()
			reply := answer(t.Context(), messenger.RecordsQuery{After: 1})
			must.True(t, reply.Lost)
			must.Eq(t, time.Minute-transit, reply.SentAt)
			c.Step(transit)
			report := messenger.WeightsReport{Batch: registrar.Batch{After: 1, At: 1}, ReplySentBy: reply.SentBy, ReplySentAt: reply.SentAt}
			tc.alter(&report)
			answer(t.Context(), messenger.RecordsQuery{After: 1, Weights: &report})
			must.Eq(t, tc.want, entry.Confirmation().StoreAge)
		})
	}
}

// Guards against engines that stop in an outage of the store because it answers one agent for longer than all others, which
// reports its last answer.
func TestWeightsStayConfirmedInAnOutageThatBeginsLaterForOneAgent(t *testing.T) {
	const (
		outage   = 8 * time.Second
		loadTime = 3 * time.Second
	)
	for later, agent := range map[time.Duration]int{100 * time.Millisecond: 18, 900 * time.Millisecond: 19, 2 * time.Second: 20, 4 * time.Second: 18} {
		t.Run(later.String(), func(t *testing.T) {
			withShapedFleet(t, shape{entries: 18, regions: 3, agents: 9}, func(t *testing.T, f *fleet) {
				f.tick(t)
				f.store.put("weights/m", 1)
				time.Sleep(5 * time.Second)
				for i, n := range f.members {
					n.partitioned.Store(i != agent)
				}
				time.AfterFunc(later, func() { f.members[agent].partitioned.Store(true) })
				oldest := time.Duration(0)
				for lost := time.Now(); time.Since(lost) < outage; {
					time.Sleep(100 * time.Millisecond)
					for _, n := range f.members {
						at, _ := n.SupersededSince("m", 1)
						oldest = max(oldest, time.Since(at))
					}
				}
				must.Less(t, weightsBound-loadTime, oldest)
			})
		})
	}
}

// Guards against an announcement that counts from the end of an inferred outage although the store has answered an agent
// again before it, in whichever region that is.
func TestAnnouncementToAnAgentThatTheStoreAnswersAgainCountsFromBefore(t *testing.T) {
	for _, agents := range [][]int{{18}, {19}, {20}, {18, 22, 26}} {
		for how, setLost := range map[string]func(*node, bool){
			"refusing":     func(n *node, lost bool) { n.partitioned.Store(lost) },
			"unresponsive": func(n *node, lost bool) { n.storeUnresponsive.Store(lost) },
		} {
			t.Run(fmt.Sprint(agents, " ", how), func(t *testing.T) {
				withShapedFleet(t, shape{entries: 18, regions: 3, agents: 9}, func(t *testing.T, f *fleet) {
					f.store.put("weights/m", 1)
					time.Sleep(5 * time.Second)
					for _, n := range f.members {
						setLost(n, true)
					}
					time.Sleep(4500 * time.Millisecond)
					for _, i := range agents {
						setLost(f.members[i], false)
					}
					time.Sleep(3500 * time.Millisecond)
					f.store.put("weights/m", 2)
					announced := time.Now()
					time.Sleep(3500 * time.Millisecond)
					for _, n := range f.members {
						at, known := n.SupersededSince("m", 1)
						must.True(t, known, must.Sprint(n.ID))
						must.LessEq(t, 0, at.Sub(announced), must.Sprint(n.ID))
					}
				})
			})
		}
	}
}

// Guards against a query of a calm system that grows by what agents report in an outage.
func TestQueryWithoutReportStaysSmall(t *testing.T) {
	q, err := json.Marshal(messenger.RecordsQuery{After: 7, WaitMS: 400, Packed: true})
	must.NoError(t, err)
	must.Eq(t, `{"after":7,"waitMs":400,"packed":true}`, string(q))
	b, err := json.Marshal(registrar.Batch{After: 7, At: 7})
	must.NoError(t, err)
	must.Eq(t, `{"after":7,"at":7,"age":0}`, string(b))
}
