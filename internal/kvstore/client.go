// Package kvstore is the client of the state service: boundary structs, the
// watch loop, and the node's share of the request rates.
package kvstore

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/httpclient"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

type item struct {
	Path  string          `json:"Path"`
	V     json.RawMessage `json:"V"`
	Stamp uint64          `json:"Stamp"`
}

type page struct {
	Items     []item `json:"Items"`
	Truncated bool   `json:"Truncated"`
	Ledger    uint64 `json:"Ledger"`
}

type event struct {
	Set    string          `json:"Set"`
	Delete string          `json:"Delete"`
	V      json.RawMessage `json:"V"`
	Stamp  uint64          `json:"Stamp"`
}

type watched struct {
	Ledger uint64  `json:"Ledger"`
	Events []event `json:"Events"`
}

type cond struct {
	Path  string `json:"Path"`
	Stamp uint64 `json:"Stamp"`
}

type change struct {
	Set    string          `json:"Set,omitempty"`
	Delete string          `json:"Delete,omitempty"`
	V      json.RawMessage `json:"V,omitempty"`
	Permit uint64          `json:"Permit,omitempty"`
}

type commit struct {
	When  []cond   `json:"When,omitempty"`
	Apply []change `json:"Apply,omitempty"`
}

type committed struct {
	Ledger uint64   `json:"Ledger"`
	Failed []string `json:"failed"`
}

type grant struct {
	LifeMs int64  `json:"LifeMs,omitempty"`
	Permit uint64 `json:"Permit,omitempty"`
}

// Client of the state service.
type Client struct {
	w, watch *httpclient.Client
	b        *httpclient.Budget
	gap      time.Duration // between watches
}

// New returns a client that spends the given rates.
func New(addr string, rps, wps float64) *Client {
	gap := max(tuning.WatchGap, time.Duration(float64(time.Second)/(tuning.WatchShare*rps)))
	return &Client{httpclient.New(addr), httpclient.New(addr), httpclient.NewBudget(rps, wps), gap}
}

// Confirm compares the view's stamp without changing anything.
func (c *Client) Confirm(e scheduler.ConfirmView) scheduler.ConfirmationAnswered {
	c.b.Wait(scheduler.LaneView, 0)
	body, _ := json.Marshal(commit{When: []cond{{e.Key, e.ModRevision}}})
	st, out, err := c.w.Do("POST", "/commit", body, tuning.StateTimeout)
	var r committed
	if err != nil || st != 200 && st != 409 || json.Unmarshal(out, &r) != nil {
		return scheduler.ConfirmationAnswered{}
	}
	return scheduler.ConfirmationAnswered{OK: true, Same: st == 200, Revision: r.Ledger}
}

// Commit carries out a transaction.
func (c *Client) Commit(e scheduler.Commit) scheduler.CommitAnswered {
	c.b.Wait(e.Lane, len(e.Transaction.Puts))
	var t commit
	for _, k := range e.Transaction.Conditions {
		t.When = append(t.When, cond{k.Key, k.ModRevision})
	}
	for _, a := range e.Transaction.Puts {
		if a.Value == nil {
			t.Apply = append(t.Apply, change{Delete: a.Key})
		} else {
			t.Apply = append(t.Apply, change{Set: a.Key, V: a.Value, Permit: a.LeaseID})
		}
	}
	body, err := json.Marshal(t)
	if err != nil {
		return scheduler.CommitAnswered{ID: e.ID, Result: domain.Refused}
	}
	st, out, err := c.w.Do("POST", "/commit", body, tuning.StateTimeout)
	for n := 0; n < tuning.ThrottledTries && e.Lane == scheduler.LaneUser && err == nil && st == 429; n++ {
		time.Sleep(tuning.ThrottledPause)
		c.b.Wait(e.Lane, 0)
		st, out, err = c.w.Do("POST", "/commit", body, tuning.StateTimeout)
	}
	ev := scheduler.CommitAnswered{ID: e.ID, Result: domain.InDoubt}
	var r committed
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		ev.Result = domain.Refused
	case err != nil:
	case st == 200 || st == 409:
		if json.Unmarshal(out, &r) != nil {
			break
		}
		ev.Revision, ev.Failed = r.Ledger, r.Failed
		ev.Result = domain.Committed
		if st == 409 {
			ev.Result = domain.Conflict
		}
	case st == 400:
		slog.Error("state service refuses a transaction", "answer", string(out))
		ev.Result, ev.Malformed = domain.Refused, true
	case st == 429 || st == 503:
		ev.Result = domain.Refused
	}
	if ev.Result == domain.Refused {
		c.b.Refund(len(e.Transaction.Puts))
	}
	return ev
}

// Read reads a few keys.
func (c *Client) Read(e scheduler.ReadKeys) scheduler.KeysRead {
	ev := scheduler.KeysRead{ID: e.ID, OK: true}
	for _, key := range e.Keys {
		c.b.Wait(scheduler.LaneUser, 0)
		st, out, err := c.w.Do("GET", "/kv/"+key, nil, tuning.StateTimeout)
		var i item
		switch {
		case err == nil && st == 404:
		case err == nil && st == 200 && json.Unmarshal(out, &i) == nil:
			ev.Items = append(ev.Items, domain.KeyValue{Key: key, Value: bytes.Clone(i.V), ModRevision: i.Stamp})
		default:
			return scheduler.KeysRead{ID: e.ID}
		}
	}
	return ev
}

// Grant asks for a grant.
func (c *Client) Grant(e scheduler.GrantLease) scheduler.LeaseGranted {
	c.b.Wait(scheduler.LaneView, 0)
	body, _ := json.Marshal(grant{LifeMs: e.TTL.Milliseconds()})
	st, out, err := c.w.Do("POST", "/grants", body, tuning.StateTimeout)
	var r grant
	if err != nil || st != 200 || json.Unmarshal(out, &r) != nil {
		return scheduler.LeaseGranted{}
	}
	return scheduler.LeaseGranted{OK: true, LeaseID: r.Permit}
}

// Renew renews it.
func (c *Client) Renew(e scheduler.RenewLease) scheduler.LeaseRenewalAnswered {
	c.b.Wait(scheduler.LaneView, 0)
	st, _, err := c.w.Do("POST", fmt.Sprintf("/grants/%d/renew", e.LeaseID), []byte("{}"), tuning.StateTimeout)
	return scheduler.LeaseRenewalAnswered{OK: err == nil && st == 200, Gone: err == nil && st == 404}
}

// Watch keeps the core's cache: a snapshot, then changes in order, for ever.
func (c *Client) Watch(clock func() time.Duration, emit func(scheduler.Event)) {
	for {
		since, err := c.snapshot(emit)
		if err != nil {
			time.Sleep(tuning.ConfirmationRetry)
			continue
		}
		for {
			next, again := c.changes(since, clock, emit)
			if again {
				break
			}
			since = next
		}
	}
}

func (c *Client) snapshot(emit func(scheduler.Event)) (uint64, error) {
	ev := scheduler.SnapshotLoaded{}
	after := ""
	for first := true; ; first = false {
		c.b.Wait(scheduler.LaneView, 0)
		q := "/kv?Starts=" + codec.Root + "&Page=1000"
		if after != "" {
			q += "&Since=" + url.QueryEscape(after)
		}
		st, out, err := c.watch.Do("GET", q, nil, 2*tuning.StateTimeout)
		if err != nil || st != 200 {
			return 0, fmt.Errorf("status %d: %w", st, err)
		}
		var p page
		if err := json.Unmarshal(out, &p); err != nil {
			return 0, err
		}
		if first {
			ev.Revision = p.Ledger
		}
		for _, i := range p.Items {
			ev.Items = append(ev.Items, domain.KeyValue{Key: i.Path, Value: bytes.Clone(i.V), ModRevision: i.Stamp})
			after = i.Path
		}
		if !p.Truncated || len(p.Items) == 0 {
			break
		}
	}
	emit(ev)
	return ev.Revision, nil
}

// changes waits for the next changes; again: a new snapshot is needed.
func (c *Client) changes(since uint64, clock func() time.Duration, emit func(scheduler.Event)) (next uint64, again bool) {
	c.b.Wait(scheduler.LaneView, 0)
	sent := clock()
	q := fmt.Sprintf("/watch?Starts=%s&Since=%d&WaitMs=%d", codec.Root, since, tuning.WatchWait.Milliseconds())
	st, out, err := c.watch.Do("GET", q, nil, tuning.WatchWait+tuning.StateTimeout)
	if err != nil || st != 200 {
		if st == 410 {
			return 0, true
		}
		time.Sleep(tuning.ConfirmationRetry)
		return since, false
	}
	var w watched
	if err := json.Unmarshal(out, &w); err != nil {
		slog.Error("watch answer", "err", err)
		return 0, true
	}
	ev := scheduler.WatchAdvanced{Sent: sent, Revision: w.Ledger}
	for _, x := range w.Events {
		kv := domain.KeyValue{Key: x.Set, Value: bytes.Clone(x.V), ModRevision: x.Stamp}
		if x.Set == "" {
			kv.Key, kv.Value = x.Delete, nil
		}
		ev.Items = append(ev.Items, kv)
	}
	// In order of revisions; within one, headers before their chunks.
	sort.SliceStable(ev.Items, func(a, b int) bool { return ev.Items[a].ModRevision < ev.Items[b].ModRevision })
	emit(ev)
	time.Sleep(c.gap)
	return max(since, w.Ledger), false
}
