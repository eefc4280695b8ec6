package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keptChanges   = 10000     // changes that a watch can still ask for
	maxPageItems  = 1000      // items in one page
	maxPageBytes  = 512 << 10 // bytes of values in one page
	maxBodyBytes  = 64 << 10  // of a transaction
	condsPerWrite = 4         // conditions for each change that a transaction may have
)

// StateLimits are the limits of the state service, as the settings name them.
type StateLimits struct {
	Requests float64 // requests a second
	Changes  float64 // changes a second
	ValueKB  float64 // KiB of a value
	TxnOps   int     // changes of a transaction
}

type entry struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type changeEvent struct {
	Set    string          `json:"Set,omitempty"`
	Delete string          `json:"Delete,omitempty"`
	Value  json.RawMessage `json:"V,omitempty"`
	Stamp  uint64          `json:"Stamp"`
}

type lease struct {
	life    time.Duration
	expires time.Time
}

// State is the state service. All of its data lies in memory.
type State struct {
	record *Record
	limits StateLimits

	mu       sync.Mutex
	ledger   uint64
	keys     map[string]*entry
	leases   map[uint64]*lease
	permits  uint64
	changes  []changeEvent
	changed  chan struct{} // closed at the next change
	requests *bucket
	writes   *bucket
}

// NewState returns an empty state service.
func NewState(record *Record, limits StateLimits) *State {
	s := &State{
		record: record, limits: limits, keys: map[string]*entry{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), requests: newBucket(limits.Requests), writes: newBucket(limits.Changes),
	}
	go s.expireLeases()
	return s
}

// Serve opens a listener for one controller and returns its address.
func (s *State) Serve(controller string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handle(controller, w, r)
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// expireLeases removes leases that have ended, and their keys.
func (s *State) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys; mu must be held.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, e := range s.keys {
		if e.lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	s.ledger++
	for _, key := range gone {
		delete(s.keys, key)
		s.changes = append(s.changes, changeEvent{Delete: key, Stamp: s.ledger})
	}
	s.announce()
}

// announce wakes the watches; mu must be held.
func (s *State) announce() {
	if len(s.changes) > keptChanges {
		s.changes = s.changes[len(s.changes)-keptChanges:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) handle(controller string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	allowed := s.requests.take(1)
	s.mu.Unlock()
	if !allowed {
		reply(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodPost && path == "/commit":
		s.commit(controller, w, r)
	case r.Method == http.MethodGet && path == "/kv":
		s.list(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case r.Method == http.MethodGet && path == "/watch":
		s.watch(w, r)
	case strings.HasPrefix(path, "/grants"):
		s.grants(w, r, strings.Split(strings.Trim(path, "/"), "/"))
	default:
		reply(w, http.StatusBadRequest, map[string]any{})
	}
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil {
		reply(w, http.StatusNotFound, map[string]any{"Ledger": s.ledger})
		return
	}
	reply(w, http.StatusOK, map[string]any{"Path": key, "V": e.value, "Stamp": e.stamp})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("Starts"), query.Get("Since")
	limit, err := strconv.Atoi(query.Get("Page"))
	if err != nil || limit < 1 || limit > maxPageItems {
		limit = maxPageItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	items, bytes, truncated := []map[string]any{}, 0, false
	for _, key := range names {
		e := s.keys[key]
		if len(items) == limit || len(items) > 0 && bytes+len(e.value) > maxPageBytes {
			truncated = true
			break
		}
		bytes += len(e.value)
		items = append(items, map[string]any{"Path": key, "V": e.value, "Stamp": e.stamp})
	}
	reply(w, http.StatusOK, map[string]any{"Items": items, "Truncated": truncated, "Ledger": s.ledger})
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("Since"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if len(s.changes) == keptChanges && since+1 < s.changes[0].Stamp {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []changeEvent{}
		for _, c := range s.changes {
			if c.Stamp > since && strings.HasPrefix(c.Set+c.Delete, query.Get("Starts")) {
				events = append(events, c)
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"Ledger": ledger, "Events": events})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"Ledger": ledger, "Events": events})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *State) grants(w http.ResponseWriter, r *http.Request, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) == 1 {
		var body struct {
			LifeMs int64 `json:"LifeMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.LifeMs < 100 || body.LifeMs > 600000 {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		s.permits++
		life := time.Duration(body.LifeMs) * time.Millisecond
		s.leases[s.permits] = &lease{life: life, expires: time.Now().Add(life)}
		reply(w, http.StatusOK, map[string]any{"Permit": s.permits})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, map[string]any{})
		return
	case r.Method == http.MethodDelete:
		s.endLease(id)
	default:
		l.expires = time.Now().Add(l.life)
	}
	reply(w, http.StatusOK, map[string]any{"Permit": id})
}

// reply sends a JSON body with a status.
func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// bucket is a token bucket that holds up to one second's worth.
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
