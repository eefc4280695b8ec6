// Package outside has small stand-ins for everything outside of the controllers: the state
// service, the cloud with its workers, and the users. They follow the protocol's pages over HTTP on
// loopback addresses and the real clock. The cases in review/4 to review/6 use them.
package outside

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyLimit is how many changes the state service keeps for watches.
const historyLimit = 10000

// transactionBytes is the protocol's limit of one transaction.
const transactionBytes = 64 << 10

type entry struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type lease struct {
	life    time.Duration
	expires time.Time
}

type change struct {
	Set    string          `json:"Set,omitempty"`
	Delete string          `json:"Delete,omitempty"`
	Value  json.RawMessage `json:"V,omitempty"`
	Stamp  uint64          `json:"Stamp,omitempty"`
	Permit uint64          `json:"Permit,omitempty"`
}

func (c change) key() string { return c.Set + c.Delete }

// State is the state service.
type State struct {
	mu        sync.Mutex
	entries   map[string]entry
	keys      []string // of entries, sorted; nil: to be sorted anew
	revision  uint64
	first     uint64 // revisions up to this one are no longer in history
	history   []change
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{} // closed and replaced at each change
	requests  *bucket
	writes    *bucket
	limits    StateLimits
	downUntil time.Time
	refused   map[string]time.Time // by front
}

// StateLimits are the limits of the settings.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// bucket is a token bucket with a burst of one second's worth.
type bucket struct {
	rate, level float64
	at          time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, level: rate, at: time.Now()} }

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// NewState returns an empty state service.
func NewState(limits StateLimits) *State {
	s := &State{
		entries: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), limits: limits,
		requests: newBucket(limits.RPS), writes: newBucket(limits.WriteRPS), refused: map[string]time.Time{},
	}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.expireLeases()
		}
	}()
	return s
}

// Outage takes the service down for a while. Afterwards each lease has its full time again.
func (s *State) Outage(d time.Duration) {
	s.mu.Lock()
	s.downUntil = time.Now().Add(d)
	for _, l := range s.leases {
		l.expires = s.downUntil.Add(l.life)
	}
	s.mu.Unlock()
}

// Refuse lets the service refuse the requests of one front for a while.
func (s *State) Refuse(front string, d time.Duration) {
	s.mu.Lock()
	s.refused[front] = time.Now().Add(d)
	s.mu.Unlock()
}

func (s *State) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.downUntil) {
		return
	}
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; mu must be held.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var changes []change
	for key, e := range s.entries {
		if e.lease == id {
			changes = append(changes, change{Delete: key})
		}
	}
	if len(changes) > 0 {
		s.apply(changes)
	}
}

// apply carries out changes under one new revision; mu must be held.
func (s *State) apply(changes []change) {
	s.revision++
	for _, c := range changes {
		c.Stamp = s.revision
		if c.Delete != "" {
			if _, ok := s.entries[c.Delete]; !ok {
				continue
			}
			delete(s.entries, c.Delete)
			s.keys = nil
		} else {
			if _, ok := s.entries[c.Set]; !ok {
				s.keys = nil
			}
			s.entries[c.Set] = entry{value: c.Value, stamp: s.revision, lease: c.Permit}
		}
		c.Permit = 0
		s.history = append(s.history, c)
	}
	for len(s.history) > historyLimit {
		s.first = s.history[0].Stamp
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Front returns the service's handler for one controller, named front.
func (s *State) Front(front string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.guard(front, s.getKey))
	mux.HandleFunc("GET /kv", s.guard(front, s.list))
	mux.HandleFunc("POST /commit", s.guard(front, s.commit))
	mux.HandleFunc("POST /grants", s.guard(front, s.grant))
	mux.HandleFunc("POST /grants/{id}/renew", s.guard(front, s.renew))
	mux.HandleFunc("DELETE /grants/{id}", s.guard(front, s.revoke))
	mux.HandleFunc("GET /watch", s.guard(front, func(w http.ResponseWriter, r *http.Request) { s.watch(front, w, r) }))
	return mux
}

// isServed reports whether requests of a front are served now; mu must be held.
func (s *State) isServed(front string) bool {
	now := time.Now()
	return !now.Before(s.downUntil) && !now.Before(s.refused[front])
}

func (s *State) guard(front string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		served, admitted := s.isServed(front), s.requests.take(1)
		s.mu.Unlock()
		switch {
		case !served:
			Answer(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		case !admitted:
			Answer(w, http.StatusTooManyRequests, map[string]string{"error": "too many requests"})
		default:
			h(w, r)
		}
	}
}

// Answer writes a JSON response.
func Answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *State) getKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	e, ok := s.entries[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		Answer(w, http.StatusNotFound, map[string]uint64{"Ledger": revision})
		return
	}
	Answer(w, http.StatusOK, map[string]any{"Path": key, "V": e.value, "Stamp": e.stamp, "Permit": e.lease})
}

type listedItem struct {
	Path  string          `json:"Path"`
	V     json.RawMessage `json:"V"`
	Stamp uint64          `json:"Stamp"`
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := strconv.Atoi(q.Get("Page"))
	if err != nil || page < 1 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		for key := range s.entries {
			s.keys = append(s.keys, key)
		}
		sort.Strings(s.keys)
	}
	from := sort.SearchStrings(s.keys, max(q.Get("Starts"), q.Get("Since")))
	items, bytes, truncated := []listedItem{}, 0, false
	for _, key := range s.keys[from:] {
		if key <= q.Get("Since") || !strings.HasPrefix(key, q.Get("Starts")) {
			continue
		}
		e := s.entries[key]
		bytes += len(key) + len(e.value) + 60
		if len(items) == page || bytes > 500<<10 {
			truncated = true
			break
		}
		items = append(items, listedItem{key, e.value, e.stamp})
	}
	Answer(w, http.StatusOK, map[string]any{"Items": items, "Truncated": truncated, "Ledger": s.revision})
}

type transaction struct {
	When []struct {
		Path  string
		Stamp uint64
	}
	Apply []change
}

// isWithinLimits reports whether a transaction is within the limits of the settings.
func (s *State) isWithinLimits(t *transaction) bool {
	if len(t.Apply) > s.limits.TxnOps || len(t.When) > 4*s.limits.TxnOps {
		return false
	}
	for _, c := range t.Apply {
		if float64(len(c.Value)) > s.limits.ValueKB*1024 || c.key() == "" || strings.Contains(c.key(), " ") || len(c.key()) > 200 {
			return false
		}
	}
	return true
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	body := http.MaxBytesReader(w, r.Body, transactionBytes)
	if err := json.NewDecoder(body).Decode(&t); err != nil || !s.isWithinLimits(&t) {
		Answer(w, http.StatusBadRequest, map[string]string{"error": "malformed or too large"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Apply) > 0 && !s.writes.take(float64(len(t.Apply))) {
		Answer(w, http.StatusTooManyRequests, map[string]string{"error": "too many changes"})
		return
	}
	for _, c := range t.Apply {
		if c.Permit != 0 && s.leases[c.Permit] == nil {
			Answer(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range t.When {
		if s.entries[c.Path].stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		Answer(w, http.StatusConflict, map[string]any{"failed": failed, "Ledger": s.revision})
		return
	}
	if len(t.Apply) > 0 {
		s.apply(t.Apply)
	}
	Answer(w, http.StatusOK, map[string]uint64{"Ledger": s.revision})
}

func (s *State) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct{ LifeMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || asked.LifeMs < 100 || asked.LifeMs > 600000 {
		Answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	life := time.Duration(asked.LifeMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{life, time.Now().Add(life)}
	Answer(w, http.StatusOK, map[string]uint64{"Permit": s.lastLease})
}

func (s *State) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		Answer(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	l.expires = time.Now().Add(l.life)
	Answer(w, http.StatusOK, map[string]uint64{"Permit": id})
}

func (s *State) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	Answer(w, http.StatusOK, struct{}{})
}

// watch waits for changes. While the service does not serve the front, open watches stay open.
func (s *State) watch(front string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("Since"), 10, 64)
	if err != nil {
		Answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	ended := false
	for {
		s.mu.Lock()
		revision, changed, served := s.revision, s.changed, s.isServed(front)
		events, tooOld := s.eventsSince(q.Get("Starts"), since)
		s.mu.Unlock()
		switch {
		case served && tooOld:
			Answer(w, http.StatusGone, map[string]string{"error": fmt.Sprint("too old: ", since)})
			return
		case served && (len(events) > 0 || ended):
			Answer(w, http.StatusOK, map[string]any{"Ledger": revision, "Events": events})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-time.After(200 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *State) eventsSince(prefix string, since uint64) (events []change, tooOld bool) {
	events = []change{}
	if since < s.first {
		return events, true
	}
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > since })
	for _, c := range s.history[from:] {
		if strings.HasPrefix(c.key(), prefix) {
			events = append(events, c)
		}
	}
	return events, false
}
