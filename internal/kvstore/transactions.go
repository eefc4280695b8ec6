package kvstore

import (
	"bytes"
	"errors"
	"log/slog"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
	"brassglade/internal/httpclient"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

type transactionRequest struct {
	Conditions []condition `json:"When,omitempty"`
	Changes    []change    `json:"Apply,omitempty"`
}

type condition struct {
	Key         string `json:"Path"`
	ModRevision uint64 `json:"Stamp"`
}

// change sets or deletes one key.
type change struct {
	Set     string          `json:"Set,omitempty"`
	Delete  string          `json:"Delete,omitempty"`
	Value   json.RawMessage `json:"V,omitempty"`
	LeaseID uint64          `json:"Permit,omitempty"`
}

type transactionResponse struct {
	Revision   uint64   `json:"Ledger"`
	FailedKeys []string `json:"failed"` // keys of the conditions that do not hold

	errorBody []byte // body of a response whose status isn't 200 or 409, for the log
}

// item is a key with its value, as reads and snapshots return it.
type item struct {
	Key         string          `json:"Path"`
	Value       json.RawMessage `json:"V"`
	ModRevision uint64          `json:"Stamp"`
}

// toKeyValue converts an item, under the given key; the value is copied out of the response's
// buffer.
func (i item) toKeyValue(key string) domain.KeyValue {
	return domain.KeyValue{Key: key, Value: bytes.Clone(i.Value), ModRevision: i.ModRevision}
}

// Confirm checks that the view still has the given revision, by a transaction that has this
// condition and no changes. Same in the result reports whether it has; if the result isn't OK,
// that is unknown.
func (c *Client) Confirm(e scheduler.ConfirmView) scheduler.ConfirmationAnswered {
	c.limiter.Wait(scheduler.LaneView, 0)
	body, err := json.Marshal(transactionRequest{Conditions: []condition{{Key: e.Key, ModRevision: e.ModRevision}}})
	if err != nil {
		return scheduler.ConfirmationAnswered{}
	}
	response, err := c.sendTransaction(body)
	if err != nil && !errors.Is(err, errConflict) {
		return scheduler.ConfirmationAnswered{}
	}
	return scheduler.ConfirmationAnswered{OK: true, Same: err == nil, Revision: response.Revision}
}

// Commit sends a transaction. A user's change that the state service throttles is retried up
// to tuning.ThrottledRetries times. The changes of a transaction that the service refused or
// that could not be sent are refunded to the rate limiter.
func (c *Client) Commit(e scheduler.Commit) scheduler.CommitAnswered {
	changes := len(e.Transaction.Puts)
	c.limiter.Wait(e.Lane, changes)
	body, err := json.Marshal(newTransactionRequest(e.Transaction))
	if err != nil {
		return scheduler.CommitAnswered{ID: e.ID, Result: domain.Refused}
	}
	response, err := c.sendTransaction(body)
	for n := 0; n < tuning.ThrottledRetries && e.Lane == scheduler.LaneUser && errors.Is(err, errThrottled); n++ {
		time.Sleep(tuning.ThrottledPause)
		c.limiter.Wait(e.Lane, 0)
		response, err = c.sendTransaction(body)
	}
	if errors.Is(err, errMalformed) {
		slog.Error("state service rejected a transaction as malformed", "response", string(response.errorBody))
	}
	result := scheduler.CommitAnswered{
		ID:        e.ID,
		Result:    commitResult(err),
		Malformed: errors.Is(err, errMalformed),
		Revision:  response.Revision,
		Failed:    response.FailedKeys,
	}
	if result.Result == domain.Refused {
		c.limiter.Refund(changes)
	}
	return result
}

// commitResult returns the result of a transaction from the error of its request.
func commitResult(err error) domain.CommitResult {
	switch {
	case err == nil:
		return domain.Committed
	case errors.Is(err, errConflict):
		return domain.Conflict
	case errors.Is(err, httpclient.ErrNotSent), errors.Is(err, errMalformed),
		errors.Is(err, errThrottled), errors.Is(err, errUnavailable):
		return domain.Refused
	}
	return domain.InDoubt
}

func newTransactionRequest(t domain.Transaction) transactionRequest {
	var r transactionRequest
	for _, k := range t.Conditions {
		r.Conditions = append(r.Conditions, condition{Key: k.Key, ModRevision: k.ModRevision})
	}
	for _, p := range t.Puts {
		if p.Value == nil {
			r.Changes = append(r.Changes, change{Delete: p.Key})
		} else {
			r.Changes = append(r.Changes, change{Set: p.Key, Value: p.Value, LeaseID: p.LeaseID})
		}
	}
	return r
}

// sendTransaction sends an encoded transaction. The response is decoded if the transaction was
// executed (nil error) or a condition doesn't hold (errConflict); otherwise it has at most
// errorBody. An error in decoding the response leaves the outcome unknown.
func (c *Client) sendTransaction(body []byte) (transactionResponse, error) {
	out, outcome := c.post(transactionPath, body)
	if outcome != nil && !errors.Is(outcome, errConflict) {
		return transactionResponse{errorBody: out}, outcome
	}
	var response transactionResponse
	if err := decode(out, &response); err != nil {
		return transactionResponse{}, err
	}
	return response, outcome
}

// Read reads keys one at a time; keys that don't exist are left out of the result. If any read
// fails, the result has no keys and isn't OK.
func (c *Client) Read(e scheduler.ReadKeys) scheduler.KeysRead {
	read := scheduler.KeysRead{ID: e.ID, OK: true}
	for _, key := range e.Keys {
		c.limiter.Wait(scheduler.LaneUser, 0)
		i, err := c.readKey(key)
		if errors.Is(err, errNotFound) {
			continue
		}
		if err != nil {
			return scheduler.KeysRead{ID: e.ID}
		}
		read.Items = append(read.Items, i.toKeyValue(key))
	}
	return read
}

func (c *Client) readKey(key string) (item, error) {
	out, err := get(c.http, keysPath+"/"+key, tuning.StateTimeout)
	if err != nil {
		return item{}, err
	}
	var i item
	if err := decode(out, &i); err != nil {
		return item{}, err
	}
	return i, nil
}
