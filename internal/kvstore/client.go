// Package kvstore is the client of the state service, a consensus-backed key-value store
// with revisions, leases, transactions on conditions and watches. It carries out the
// scheduler's requests within this controller's part of the service's rates, and keeps the
// scheduler's cache up to date with a snapshot and a watch.
//
// The structs with JSON tags have the protocol's names; all else has the types of packages
// domain and scheduler. No method returns an error: the scheduler gets an event that says
// what is known of the outcome. The errors inside tell the cases apart.
package kvstore

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/httpclient"
	"brassglade/internal/tuning"
)

// Paths of the state service's interface.
const (
	transactionPath = "/commit"
	keysPath        = "/kv"
	watchPath       = "/watch"
	leasesPath      = "/grants"
)

// keysPerPage is how many keys one page of a snapshot holds.
const keysPerPage = 1000

// What a request's failure means for its outcome. An error that matches none of these and
// isn't httpclient.ErrNotSent leaves the outcome unknown.
var (
	errConflict    = errors.New("a condition doesn't hold")
	errMalformed   = errors.New("refused as malformed")
	errNotFound    = errors.New("not found")
	errCompacted   = errors.New("the revision is too old for a watch")
	errThrottled   = errors.New("over the rate")
	errUnavailable = errors.New("not available")
	errUnexpected  = errors.New("unexpected status")
)

// statusErrors maps the statuses that the protocol gives a meaning.
var statusErrors = map[int]error{
	http.StatusBadRequest:         errMalformed,
	http.StatusNotFound:           errNotFound,
	http.StatusConflict:           errConflict,
	http.StatusGone:               errCompacted,
	http.StatusTooManyRequests:    errThrottled,
	http.StatusServiceUnavailable: errUnavailable,
}

// statusError returns nil for status 200 and else what the status means.
func statusError(status int) error {
	if status == http.StatusOK {
		return nil
	}
	meaning, known := statusErrors[status]
	if !known {
		meaning = errUnexpected
	}
	return fmt.Errorf("state service, status %d: %w", status, meaning)
}

// Client sends requests to the state service. Its methods may be called by several
// goroutines; each waits until the budget lets the request go, and then up to
// tuning.StateTimeout.
type Client struct {
	http       *httpclient.Client
	watchHTTP  *httpclient.Client // connections of its own, since a watch holds one for seconds
	limiter    *httpclient.RateLimiter
	watchPause time.Duration // pause between watches, which count as requests
}

// New returns a client of an address, "host:port", that sends so many requests and makes
// so many changes a second.
func New(address string, requestRate, changeRate float64) *Client {
	spacing := time.Duration(float64(time.Second) / (tuning.WatchShare * requestRate))
	return &Client{
		http:       httpclient.New(address),
		watchHTTP:  httpclient.New(address),
		limiter:    httpclient.NewRateLimiter(requestRate, changeRate),
		watchPause: max(tuning.WatchGap, spacing),
	}
}

// post sends a request and returns the body of its answer, also beside an error that
// the answer's status means.
func (c *Client) post(path string, body []byte) ([]byte, error) {
	response, err := c.http.Do(http.MethodPost, path, body, tuning.StateTimeout)
	return bodyOrError(response, err)
}

// get fetches a path with the given client, which a watch and the others have each.
func get(client *httpclient.Client, path string, timeout time.Duration) ([]byte, error) {
	response, err := client.Do(http.MethodGet, path, nil, timeout)
	return bodyOrError(response, err)
}

func bodyOrError(response httpclient.Response, err error) ([]byte, error) {
	if err != nil {
		return nil, fmt.Errorf("state service: %w", err)
	}
	return response.Body, statusError(response.Status)
}

// decode reads an answer's body.
func decode(body []byte, answer any) error {
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("state service, answer of %d bytes: %w", len(body), err)
	}
	return nil
}
