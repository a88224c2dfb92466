package gossiper_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/storer"
)

// Guards against entries that serve by a superseded bundle for as long as the
// store answers them with its head but not with the record.
func TestUnreadableRecordIsNoOutage(t *testing.T) {
	for name, fail := range map[string]func(r *http.Request) error{
		"reset":  func(*http.Request) error { return errors.New("connection reset") },
		"silent": func(r *http.Request) error { <-r.Context().Done(); return r.Context().Err() },
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 9, func(f *fleet) {
				f.startWithFailingCalls(func(r *http.Request) error {
					if strings.HasSuffix(r.URL.Path, gossiper.BundleKey) {
						return fail(r)
					}
					return nil
				})
				f.publish(2)
				advance(gossiper.DefaultFreshFor + 500*time.Millisecond)
				f.checkDuring(time.Minute, func(n *node) { must.Error(f.t, n.state.MayServe()) })
				f.failing.Store(false)
				f.awaitRevision(2, storer.DefaultTimeout+time.Second)
				advance(time.Second)
				f.checkDuring(5*time.Second, f.mustServe)
			})
		})
	}
}

// startConfirmed starts the entries with revision 1.
func (f *fleet) startConfirmed() {
	f.publish(1)
	f.startAll()
	f.awaitRevision(1, 5*time.Second)
	advance(3 * time.Second)
}

// startWithFailingCalls starts the entries with revision 1 and lets all their later
// calls to the store for which fail returns an error fail with it.
func (f *fleet) startWithFailingCalls(fail func(r *http.Request) error) {
	f.failCall = fail
	f.startConfirmed()
	f.failing.Store(true)
	// A watch in progress would still return the next change.
	f.checkDuring(gossiper.DefaultWait+storer.DefaultTimeout, f.mustServe)
}

// Guards against entries that refuse all work in an outage because an operator had
// prepared a change that was never accepted.
func TestServesThroughOutageAfterUnacceptedChange(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.startConfirmed()
		f.overwrite(gossiper.HeadKey, `{"revision":2,"digest":"unaccepted"}`)
		f.checkDuring(10*time.Second, f.mustServe)
		f.faults(`{"down":true}`)
		f.checkDuring(time.Minute, f.mustServe)
	})
}

// Guards against a party with access to the store but without the operators' keys
// that ends all service by a forged head and record.
func TestForgedHeadEndsNoService(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.startConfirmed()
		f.overwrite(gossiper.BundleKey, "garbage")
		f.overwrite(gossiper.HeadKey, `{"revision":2,"digest":"forged"}`)
		f.checkDuring(time.Minute, f.mustServe)
	})
}

// overwrite replaces the value of a key in the store.
func (f *fleet) overwrite(key, value string) {
	item, err := f.store(nil).Get(f.t.Context(), key)
	must.NoError(f.t, err)
	_, err = f.store(nil).Put(f.t.Context(), key, []byte(value), item.Version, "")
	must.NoError(f.t, err)
}

// Guards against entries that keep to the old bundle although an operator, whom
// the store still answers, handed the accepted one to one of them.
func TestBundleHandedToOneEntryInAnOutageReachesAll(t *testing.T) {
	inFleet(t, 9, func(f *fleet) {
		f.startWithFailingCalls(func(*http.Request) error { return errors.New("connection refused") })
		f.publish(2)
		f.checkDuring(10*time.Second, f.mustServe)
		_, err := f.nodes[4].state.Offer(signed(2, "c2"))
		must.NoError(f.t, err)
		f.awaitRevision(2, time.Second)
		advance(time.Second)
		f.checkDuring(10*time.Second, f.mustServe)
	})
}

// Guards against entries that serve by a superseded bundle for as long as they
// are partitioned together with one entry of the store's region, while the others
// there reach the store.
func TestIslandWithAnEntryOfTheStoresRegionStops(t *testing.T) {
	m := newModel(9, 0, "huon")
	m.converge(t)
	island := map[int]bool{2: true, 3: true, 4: true, 5: true, 6: true}
	m.cutStore = island
	for i := range m.entries {
		for j := range m.entries {
			m.cutLinks[[2]int{i, j}] = island[i] != island[j]
		}
	}
	m.publish()
	for range 20 {
		m.step(200 * time.Millisecond)
	}
	for i := range island {
		must.Error(t, m.nodes[i].MayServe(), must.Sprint(m.name(i)))
	}
}
