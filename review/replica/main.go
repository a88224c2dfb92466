//go:build review

// Command replica is a plain service of the users' platform: a process of its own that registers
// itself in the store and answers requests.
//
// It follows the pages: it refuses requests meant for another replica with 421, and requests beyond
// its slots and its queue with 503 and X-Not-Executed, answers with the attempt's id and a seal, and
// answers its health path. It turns cold at SIGUSR1, and then states so in its record and on its
// health path.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Answers without a length are limited as in the site's trouble garble, unframed: x = 0.05 of the answers, for 5 s.
const (
	unframedOneIn  = 20
	unframedFor    = 5
	unframedPeriod = 6
)

const (
	heartbeat    = 1200 * time.Millisecond
	storeTimeout = 900 * time.Millisecond
	queueLength  = 24
)

// replica is the state of the process.
type replica struct {
	id, service, address, zone, store string
	slots                             int
	born                              int64
	work, hold                        time.Duration
	unframed                          bool
	answers                           int
	coldFor                           time.Duration

	running  chan struct{}
	database []net.Conn

	mu        sync.Mutex
	waiting   int
	coldUntil time.Time
	sequence  int
	log       *os.File
}

func main() {
	r := &replica{born: time.Now().UnixMilli()}
	flag.StringVar(&r.id, "id", "", "id of this replica")
	flag.StringVar(&r.service, "service", "", "name of the service")
	flag.StringVar(&r.address, "address", "", "address to listen on")
	flag.StringVar(&r.zone, "zone", "", "zone")
	flag.StringVar(&r.store, "store", "", "address of the store")
	flag.IntVar(&r.slots, "slots", 6, "requests at once")
	flag.DurationVar(&r.work, "work", 15*time.Millisecond, "time until the answer begins")
	flag.DurationVar(&r.hold, "hold", 0, "pause in the middle of an answer")
	flag.BoolVar(&r.unframed, "unframed", false, "for 5 of each 6 s, one answer in 20 has no length, is sent in two halves and ends with its channel")
	flag.DurationVar(&r.coldFor, "cold", 3*time.Second, "how long the replica is cold after SIGUSR1")
	database := flag.String("database", "", "address of a database to which the service keeps connections; empty for none")
	connections := flag.Int("connections", 0, "how many it keeps")
	logFile := flag.String("log", "", "file for what arrives and runs")
	flag.Parse()
	var err error
	if r.log, err = os.OpenFile(*logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		fatal(err)
	}
	r.running = make(chan struct{}, r.slots)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fatal(err)
	}
	for range *connections {
		c, err := net.Dial("tcp", *database)
		if err != nil {
			fatal(err)
		}
		// Without a reference it would be closed.
		r.database = append(r.database, c)
	}
	r.event("start", "", "", 0)
	go r.register()
	go r.watchSignals()
	fatal(http.Serve(l, r))
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "replica:", err)
	os.Exit(2)
}

// event appends a line to the log.
func (r *replica) event(kind, attempt, detail string, bytes int) {
	line, _ := json.Marshal(map[string]any{
		"at": time.Now().UnixMilli(), "replica": r.id, "event": kind, "attempt": attempt, "detail": detail, "bytes": bytes, "cold": r.coldLeft().Milliseconds(),
	})
	_, _ = r.log.Write(append(line, '\n'))
}

func (r *replica) coldLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Until(r.coldUntil))
}

// watchSignals turns the replica cold at each SIGUSR1.
func (r *replica) watchSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		r.mu.Lock()
		r.coldUntil = time.Now().Add(r.coldFor)
		r.mu.Unlock()
		r.event("cold", "", "", 0)
		r.writeRecord()
	}
}

// register writes the record at each heartbeat.
func (r *replica) register() {
	for {
		r.writeRecord()
		time.Sleep(heartbeat)
	}
}

// writeRecord writes the replica's entry to the store.
func (r *replica) writeRecord() {
	cold := r.coldLeft().Milliseconds()
	r.mu.Lock()
	r.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": cold, "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"expected": []any{}, "deletes": []any{}, "puts": []any{map[string]any{"key": "servers/" + r.id, "value": value, "lease": 0}},
	})
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.store+"/v1/kv-txn", bytes.NewReader(body))
	if err != nil {
		return
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		r.event("record", "", "no answer of the store", 0)
		return
	}
	res.Body.Close()
	r.event("record", "", fmt.Sprintf("status %d, cold_remaining_ms %d", res.StatusCode, cold), 0)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := q.Header.Get("X-Request-Attempt")
	h := w.Header()
	h.Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", len(r.running), r.queued(), r.slots))
	if q.URL.Path == "/healthz" {
		h.Set("X-Replica-Id", r.id)
		if left := r.coldLeft(); left > 0 {
			h.Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		r.event("health", "", "", 0)
		return
	}
	if attempt == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Request-Attempt", attempt)
	if expected := q.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		h.Set("X-Replica-Id", r.id)
		r.event("misdirected", attempt, expected, 0)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.event("arrival", attempt, q.Method+" "+q.RequestURI, len(body))
	if !r.acquire(q.Context()) {
		h.Set("X-Not-Executed", "1")
		r.event("full", attempt, "", 0)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.running }()
	r.event("run", attempt, "", 0)
	time.Sleep(r.work)
	r.answer(w, attempt)
}

func (r *replica) queued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting
}

// acquire waits for a slot; false if the queue is full or the caller has left.
func (r *replica) acquire(ctx context.Context) bool {
	r.mu.Lock()
	if r.waiting >= queueLength {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// drawUnframed reports whether the next answer has no length.
func (r *replica) drawUnframed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	return r.unframed && r.answers%unframedOneIn == 0 && time.Now().Unix()%unframedPeriod < unframedFor
}

// answer sends an answer of 800 bytes; one without a length in two halves.
func (r *replica) answer(w http.ResponseWriter, attempt string) {
	line := attempt + " " + r.id + "\n"
	whole := strings.Repeat(line, 800/len(line)+1)[:799] + "."
	sum := sha256.Sum256([]byte(whole))
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("X-Replica-Seal", attempt+"."+strconv.Itoa(len(whole))+"."+hex.EncodeToString(sum[:8]))
	unframed := r.drawUnframed()
	if unframed {
		// With this, net/http sends no chunks and closes the connection after the body.
		h.Set("Transfer-Encoding", "identity")
	} else {
		h.Set("Content-Length", strconv.Itoa(len(whole)))
	}
	half := len(whole) / 2
	if !unframed {
		half = len(whole)
	}
	if _, err := io.WriteString(w, whole[:half]); err != nil {
		return
	}
	if unframed {
		_ = http.NewResponseController(w).Flush()
		r.event("half", attempt, "", half)
		time.Sleep(r.hold)
		if _, err := io.WriteString(w, whole[half:]); err != nil {
			r.event("gone", attempt, err.Error(), half)
			return
		}
	}
	r.event("whole", attempt, "", len(whole))
}
