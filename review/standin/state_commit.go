package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

type transaction struct {
	When []struct {
		Path  string `json:"Path"`
		Stamp uint64 `json:"Stamp"`
	} `json:"When"`
	Apply []struct {
		Set    string          `json:"Set"`
		Delete string          `json:"Delete"`
		Value  json.RawMessage `json:"V"`
		Permit uint64          `json:"Permit"`
	} `json:"Apply"`
}

// commit carries out a transaction or refuses it.
func (s *State) commit(controller string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	var t transaction
	if err != nil || len(body) > maxBodyBytes || json.Unmarshal(body, &t) != nil || !s.isWithinLimits(&t) {
		s.record.Logf("state %s: transaction of %d bytes refused with 400", controller, len(body))
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Apply) > 0 && !s.writes.take(float64(len(t.Apply))) {
		reply(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	for _, change := range t.Apply {
		if change.Permit != 0 && s.leases[change.Permit] == nil {
			reply(w, http.StatusBadRequest, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, condition := range t.When {
		stamp := uint64(0)
		if e := s.keys[condition.Path]; e != nil {
			stamp = e.stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "Ledger": s.ledger})
		return
	}
	if len(t.Apply) > 0 {
		s.apply(&t)
	}
	reply(w, http.StatusOK, map[string]any{"Ledger": s.ledger})
}

// isWithinLimits reports whether the transaction's size is allowed.
func (s *State) isWithinLimits(t *transaction) bool {
	if len(t.Apply) > s.limits.TxnOps || len(t.When) > condsPerWrite*s.limits.TxnOps {
		return false
	}
	for _, change := range t.Apply {
		if float64(len(change.Value)) > s.limits.ValueKB*1024 || (change.Set == "") == (change.Delete == "") {
			return false
		}
	}
	return true
}

// apply changes the keys; mu must be held.
func (s *State) apply(t *transaction) {
	s.ledger++
	for _, change := range t.Apply {
		if change.Delete != "" {
			if s.keys[change.Delete] != nil {
				delete(s.keys, change.Delete)
				s.changes = append(s.changes, changeEvent{Delete: change.Delete, Stamp: s.ledger})
			}
			continue
		}
		value := bytes.Clone(change.Value)
		s.keys[change.Set] = &entry{value: value, stamp: s.ledger, lease: change.Permit}
		s.changes = append(s.changes, changeEvent{Set: change.Set, Value: value, Stamp: s.ledger})
	}
	s.announce()
}
