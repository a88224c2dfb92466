package imitator

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// defaultWatchWait is the wait limit of a watch whose request sets none.
const defaultWatchWait = 20 * time.Second

// KV is a key-value service with compare-and-swap, leases and watches.
type KV struct {
	// Clock times leases, watches and delays. Nil means the real clock.
	Clock clock.Clock
	// Seed determines which answers are lost.
	Seed uint64

	mu       sync.Mutex
	state    kvState
	snapshot *kvState
	faults   kvFaults
	counts   kvCounts
	random   *rand.Rand
	changed  notifier
}

// Item is a key with its value and the version of its last change.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`

	lease string
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

type kvState struct {
	version int64
	items   map[string]Item
	deleted map[string]int64 // version of the deletion by key
	leases  map[string]kvLease
}

func (s kvState) clone() kvState {
	s.items = maps.Clone(s.items)
	s.deleted = maps.Clone(s.deleted)
	s.leases = maps.Clone(s.leases)
	return s
}

type kvFaults struct {
	Down        bool    `json:"down"`
	DelayMs     int64   `json:"delayMs"`
	LoseAnswers float64 `json:"loseAnswers"`
	DeadWatches bool    `json:"deadWatches"`
}

type kvCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Handler returns the service's HTTP interface.
func (k *KV) Handler() http.Handler {
	k.Clock = clockOrReal(k.Clock)
	k.random = rand.New(rand.NewPCG(k.Seed, 0))
	k.state = kvState{
		items:   map[string]Item{},
		deleted: map[string]int64{},
		leases:  map[string]kvLease{},
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /kv", k.read(k.list))
	m.HandleFunc("GET /kv/{key...}", k.read(k.get))
	m.HandleFunc("PUT /kv/{key...}", k.write(k.put))
	m.HandleFunc("DELETE /kv/{key...}", k.write(k.remove))
	m.HandleFunc("GET /watch/{key...}", k.watch)
	m.HandleFunc("POST /leases", k.write(k.grantLease))
	m.HandleFunc("POST /leases/{id}/renew", k.write(k.renewLease))
	m.HandleFunc("POST /admin/faults", k.setFaults)
	m.HandleFunc("POST /admin/snapshot", k.takeSnapshot)
	m.HandleFunc("POST /admin/restore", k.restore)
	m.HandleFunc("GET /admin/counts", k.getCounts)
	return m
}

// answer is a status and a JSON body, created while the state is locked.
type answer struct {
	status int
	body   any
}

func errorAnswer(status int, text string, version int64) answer {
	return answer{status, struct {
		Error   string `json:"error"`
		Version int64  `json:"version"`
	}{text, version}}
}

func versionAnswer(version int64) answer {
	return answer{http.StatusOK, struct {
		Version int64 `json:"version"`
	}{version}}
}

func (k *KV) read(f func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !k.admit(w, r) {
			return
		}
		k.mu.Lock()
		k.counts.Reads++
		k.expireLeases()
		a := f(r)
		k.mu.Unlock()
		writeJSON(w, a.status, a.body)
	}
}

func (k *KV) write(f func(r *http.Request, body []byte) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !k.admit(w, r) {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		k.mu.Lock()
		k.counts.Writes++
		k.expireLeases()
		a := f(r, body)
		lost := k.random.Float64() < k.faults.LoseAnswers
		k.mu.Unlock()
		if lost {
			abortConnection()
		}
		writeJSON(w, a.status, a.body)
	}
}

// admit applies the injected delay. It refuses the request and returns false while
// the service is down.
func (k *KV) admit(w http.ResponseWriter, r *http.Request) bool {
	k.mu.Lock()
	faults := k.faults
	k.mu.Unlock()
	if !sleep(k.Clock, time.Duration(faults.DelayMs)*time.Millisecond, r.Context().Done()) {
		return false
	}
	if faults.Down {
		writeError(w, http.StatusServiceUnavailable, "down")
	}
	return !faults.Down
}

// expireLeases deletes expired leases and their keys.
func (k *KV) expireLeases() {
	now := k.Clock.Now()
	for id, l := range k.state.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(k.state.leases, id)
		k.deleteLeased(id)
	}
}

func (k *KV) deleteLeased(lease string) {
	for _, it := range k.state.items {
		if it.lease == lease {
			k.deleteKey(it.Key)
		}
	}
}

// deleteKey deletes a key and notifies the watches.
func (k *KV) deleteKey(key string) {
	k.state.version++
	delete(k.state.items, key)
	k.state.deleted[key] = k.state.version
	k.changed.notify()
}

func (k *KV) list(r *http.Request) answer {
	prefix := r.URL.Query().Get("prefix")
	items := []Item{}
	for _, s := range slices.Sorted(maps.Keys(k.state.items)) {
		if strings.HasPrefix(s, prefix) {
			items = append(items, k.state.items[s])
		}
	}
	return answer{http.StatusOK, struct {
		Items []Item `json:"items"`
	}{items}}
}

func (k *KV) get(r *http.Request) answer {
	it, ok := k.state.items[r.PathValue("key")]
	if !ok {
		return errorAnswer(http.StatusNotFound, "no such key", 0)
	}
	return answer{http.StatusOK, it}
}

func (k *KV) put(r *http.Request, body []byte) answer {
	key := r.PathValue("key")
	want, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "version is no number", 0)
	}
	if len(body) > MaxValueBytes {
		return errorAnswer(http.StatusRequestEntityTooLarge, "value above one megabyte", 0)
	}
	if current := k.state.items[key].Version; current != want {
		return errorAnswer(http.StatusConflict, "version differs", current)
	}
	lease := r.URL.Query().Get("lease")
	if _, ok := k.state.leases[lease]; lease != "" && !ok {
		return errorAnswer(http.StatusNotFound, "no such lease", 0)
	}
	k.state.version++
	k.state.items[key] = Item{Key: key, Value: body, Version: k.state.version, lease: lease}
	delete(k.state.deleted, key)
	k.changed.notify()
	return versionAnswer(k.state.version)
}

func (k *KV) remove(r *http.Request, _ []byte) answer {
	key := r.PathValue("key")
	want, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "version is no number", 0)
	}
	it, ok := k.state.items[key]
	if !ok {
		return errorAnswer(http.StatusNotFound, "no such key", 0)
	}
	if it.Version != want {
		return errorAnswer(http.StatusConflict, "version differs", it.Version)
	}
	k.deleteKey(key)
	return versionAnswer(k.state.version)
}

func (k *KV) grantLease(r *http.Request, _ []byte) answer {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		return errorAnswer(http.StatusBadRequest, "ttl is no positive duration", 0)
	}
	id := uuid.NewString()
	k.state.leases[id] = kvLease{ttl: ttl, expires: k.Clock.Now().Add(ttl)}
	k.changed.notify()
	return answer{http.StatusOK, struct {
		ID string `json:"id"`
	}{id}}
}

func (k *KV) renewLease(r *http.Request, _ []byte) answer {
	id := r.PathValue("id")
	l, ok := k.state.leases[id]
	if !ok {
		return errorAnswer(http.StatusNotFound, "no such lease", 0)
	}
	l.expires = k.Clock.Now().Add(l.ttl)
	k.state.leases[id] = l
	return answer{http.StatusOK, struct{}{}}
}

func (k *KV) watch(w http.ResponseWriter, r *http.Request) {
	if !k.admit(w, r) {
		return
	}
	after, wait, err := watchLimits(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	k.mu.Lock()
	k.counts.Watches++
	dead := k.faults.DeadWatches
	k.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return
	}
	a := k.awaitChange(r, after, k.Clock.Now().Add(wait))
	if a.status == http.StatusNoContent {
		w.WriteHeader(a.status)
		return
	}
	writeJSON(w, a.status, a.body)
}

func watchLimits(r *http.Request) (after int64, wait time.Duration, err error) {
	q := r.URL.Query()
	wait = defaultWatchWait
	if s := q.Get("after"); s != "" {
		if after, err = strconv.ParseInt(s, 10, 64); err != nil {
			return 0, 0, err
		}
	}
	if s := q.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			return 0, 0, err
		}
	}
	return after, wait, nil
}

// awaitChange waits until a watch has an answer or reaches its deadline.
func (k *KV) awaitChange(r *http.Request, after int64, deadline time.Time) answer {
	key := r.PathValue("key")
	for {
		k.mu.Lock()
		k.expireLeases()
		a, found := k.watchAnswer(key, after)
		changed := k.changed.wait()
		wakeup := k.nextWakeup(deadline)
		k.mu.Unlock()
		if found {
			return a
		}
		now := k.Clock.Now()
		if !now.Before(deadline) {
			return answer{status: http.StatusNoContent}
		}
		t := k.Clock.NewTimer(wakeup.Sub(now))
		select {
		case <-changed:
		case <-t.C():
		case <-r.Context().Done():
		}
		t.Stop()
		if r.Context().Err() != nil {
			return answer{status: http.StatusNoContent}
		}
	}
}

// watchAnswer returns the answer of a watch, and false if the watch must wait.
func (k *KV) watchAnswer(key string, after int64) (answer, bool) {
	if k.faults.Down {
		return errorAnswer(http.StatusServiceUnavailable, "down", 0), true
	}
	if it, ok := k.state.items[key]; ok {
		return answer{http.StatusOK, it}, it.Version > after
	}
	if v, ok := k.state.deleted[key]; ok && v > after {
		return errorAnswer(http.StatusNotFound, "key was deleted", v), true
	}
	return answer{}, false
}

// nextWakeup returns the earlier of the deadline and the first expiry of a lease.
func (k *KV) nextWakeup(deadline time.Time) time.Time {
	for _, l := range k.state.leases {
		if l.expires.Before(deadline) {
			deadline = l.expires
		}
	}
	return deadline
}

func (k *KV) setFaults(w http.ResponseWriter, r *http.Request) {
	handleFaults(w, r, func(faults kvFaults) {
		k.mu.Lock()
		k.faults = faults
		k.changed.notify()
		k.mu.Unlock()
	})
}

func (k *KV) takeSnapshot(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	k.expireLeases()
	s := k.state.clone()
	k.snapshot = &s
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (k *KV) restore(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	found := k.snapshot != nil
	if found {
		k.state = k.snapshot.clone()
		k.changed.notify()
	}
	k.mu.Unlock()
	if !found {
		writeError(w, http.StatusConflict, "no snapshot")
		return
	}
	klog.InfoS("restored")
	writeJSON(w, http.StatusOK, struct{}{})
}

func (k *KV) getCounts(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	counts := k.counts
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, counts)
}
