package relayer_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// unresponsiveAgent gives no answer within the timeout.
type unresponsiveAgent struct {
	*decider
	asked *int
}

func (a unresponsiveAgent) Reserve(context.Context, messenger.Reservation) (messenger.Decision, error) {
	*a.asked++
	a.clock.Step(relayer.ReserveTimeout)
	return messenger.Decision{}, context.DeadlineExceeded
}

func (unresponsiveAgent) SendProgress(messenger.Progress) {}

// overloaded is an entry with 50 engines, the given number of which have unresponsive agents and
// all others no slot; asked counts the reservations at unresponsive ones.
func overloaded(silent int) (d *decider, asked *int) {
	d, asked = newDecider(12, 50, 12), new(int)
	d.Placer.Without = ablator.Set{ablator.AdmissionWait}
	reach := d.Placer.Reach
	d.Placer.Reach = func(a netip.AddrPort) relayer.Agent {
		if int(a.Addr().As4()[3]) < silent {
			return unresponsiveAgent{d, asked}
		}
		return reach(a)
	}
	return d, asked
}

// refusal returns the error with which a request is refused.
func (d *decider) refusal(t *testing.T) *relayer.RefusedError {
	t.Helper()
	j := d.job
	j.Arrived = d.clock.Now()
	d.Admit(&j)
	_, err := d.Placer.Place(context.Background(), &j)
	var refused *relayer.RefusedError
	must.True(t, errors.As(err, &refused))
	return refused
}

// Guards against refusals after a restart that report full engines, where two unresponsive agents
// used up the time for asking and 88 engines weren't asked.
func TestRefusalStatesWhetherEnginesAreFull(t *testing.T) {
	d, _ := overloaded(0)
	e := d.refusal(t)
	must.Eq(t, "all engines full", e.Reason)
	must.Eq(t, 50, e.Met.Full)
	d, asked := overloaded(50)
	e = d.refusal(t)
	must.Eq(t, "not all engines asked in time", e.Reason)
	must.Eq(t, 3, *asked)
	must.Eq(t, 50-3, e.Met.Unasked)
	for *asked < 50 {
		must.Error(t, d.refusal(t))
	}
	e = d.refusal(t)
	must.Eq(t, "agents unresponsive", e.Reason)
	must.Eq(t, 50, e.Met.Silent)
}

// Guards against requests that ask several unresponsive agents in the seconds after a restart, and
// don't ask engines whose agents answer.
func TestRequestAsksOneUnresponsiveAgentAfterAllOthers(t *testing.T) {
	const silent = 10
	d, asked := overloaded(silent)
	for *asked < silent {
		must.Error(t, d.refusal(t))
		d.clock.Step(50 * time.Millisecond)
	}
	before := *asked
	d.clock.Step(800 * time.Millisecond)
	for n := 1; n <= silent; n++ {
		e := d.refusal(t)
		must.Eq(t, before+n, *asked)
		must.Eq(t, "agents unresponsive", e.Reason)
		must.Eq(t, 50-silent, e.Met.Full+e.Met.PassedOver)
		must.Eq(t, silent, e.Met.Silent)
	}
	must.Eq(t, "all engines full", d.refusal(t).Reason, must.Sprint("no unresponsive agent may be asked now"))
	must.Eq(t, before+silent, *asked)
}
