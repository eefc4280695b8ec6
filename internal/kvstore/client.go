// Package kvstore is the client of the state service, a consensus-backed key-value store
// with revisions, leases, conditional transactions and watches. It sends the scheduler's
// requests within this controller's share of the service's request and change rates, and
// keeps the scheduler's cache up to date with a snapshot followed by watches.
//
// JSON tags hold the names of the protocol; everything else uses the types of packages
// domain and scheduler. No exported method returns an error: each gives the scheduler events
// that state what is known of the outcome. The errors within the package distinguish the
// possible outcomes.
package kvstore

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"brassglade/internal/exactjson"
	"brassglade/internal/httpclient"
	"brassglade/internal/tuning"
)

// Paths of the state service's HTTP interface.
const (
	transactionPath = "/commit"
	keysPath        = "/kv"
	watchPath       = "/watch"
	leasesPath      = "/grants"
)

// keysPerPage is the largest number of keys that one page of a snapshot holds.
const keysPerPage = 1000

// Errors for responses whose status isn't 200; commitResult states what they mean for the
// outcome of a transaction. An error that matches none of them and isn't httpclient.ErrNotSent
// leaves the outcome unknown.
var (
	errConflict    = errors.New("a condition of the transaction does not hold")
	errMalformed   = errors.New("request rejected as malformed")
	errNotFound    = errors.New("key or lease not found")
	errCompacted   = errors.New("the revision to watch from is no longer available")
	errThrottled   = errors.New("request rate exceeded")
	errUnavailable = errors.New("service unavailable")
	errUnexpected  = errors.New("unexpected HTTP status")
)

// statusErrors maps the HTTP statuses that the protocol defines to errors.
var statusErrors = map[int]error{
	http.StatusBadRequest:         errMalformed,
	http.StatusNotFound:           errNotFound,
	http.StatusConflict:           errConflict,
	http.StatusGone:               errCompacted,
	http.StatusTooManyRequests:    errThrottled,
	http.StatusServiceUnavailable: errUnavailable,
}

// statusError returns nil for status 200 and otherwise the error that the status stands for.
func statusError(status int) error {
	if status == http.StatusOK {
		return nil
	}
	meaning, known := statusErrors[status]
	if !known {
		meaning = errUnexpected
	}
	return fmt.Errorf("state service responded with status %d: %w", status, meaning)
}

// Client sends requests to the state service. Its methods may be called by several
// goroutines concurrently. Each waits until the rate limiter admits the request and then, except
// for Watch, up to tuning.StateTimeout for each response.
type Client struct {
	http       *httpclient.Client
	watchHTTP  *httpclient.Client // separate connections, since a watch occupies one for seconds
	limiter    *httpclient.RateLimiter
	watchPause time.Duration // pause between two watches, since each counts as a request
}

// New returns a client of the state service at an address, "host:port". On average it sends at
// most requestRate requests and writes at most changeRate keys a second.
func New(address string, requestRate, changeRate float64) *Client {
	spacing := time.Duration(float64(time.Second) / (tuning.WatchShare * requestRate))
	return &Client{
		http:       httpclient.New(address),
		watchHTTP:  httpclient.New(address),
		limiter:    httpclient.NewRateLimiter(requestRate, changeRate),
		watchPause: max(tuning.MinWatchInterval, spacing),
	}
}

// post sends a request and returns the body of its response. If the status isn't 200, it
// returns the body together with the error that the status stands for.
func (c *Client) post(path string, body []byte) ([]byte, error) {
	response, err := c.http.Do(http.MethodPost, path, body, tuning.StateTimeout)
	return bodyOrError(response, err)
}

// get fetches a path with the given client: watchHTTP for snapshots and watches, http for
// single keys.
func get(client *httpclient.Client, path string, timeout time.Duration) ([]byte, error) {
	response, err := client.Do(http.MethodGet, path, nil, timeout)
	return bodyOrError(response, err)
}

// bodyOrError returns the body of a response and the error that its status stands for, or
// the error of the request itself.
func bodyOrError(response httpclient.Response, err error) ([]byte, error) {
	if err != nil {
		return nil, fmt.Errorf("request to the state service: %w", err)
	}
	return response.Body, statusError(response.Status)
}

// decode parses the JSON body of a response into response, a pointer.
func decode(body []byte, response any) error {
	if err := exactjson.Unmarshal(body, response); err != nil {
		return fmt.Errorf("cannot decode the state service's response of %d bytes: %w", len(body), err)
	}
	return nil
}
