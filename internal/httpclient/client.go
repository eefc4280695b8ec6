// Package httpclient is a small HTTP/1.1 client on package net for requests between the
// service's processes: a pool of kept connections for each address, one connection for
// each request under way and a deadline for each request. It also holds Budget, which
// spaces requests so that they stay within published rates.
package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"brassglade/internal/tuning"
)

// The two ways in which a request can fail. Each error of Do matches one of them.
var (
	// ErrNotSent means that the request was certainly not executed.
	ErrNotSent = errors.New("not sent")
	// ErrOutcomeUnknown means that the request may or may not have been executed.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

const (
	readBufferBytes  = 8 << 10 // read buffer of a connection
	requestHeadBytes = 160     // room for a request's head, which has two to four short lines
)

// Response is an answer whatever its status.
type Response struct {
	Status int
	Body   []byte
}

// connection is a connection that carries one request at a time.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// Client sends requests to one address. Its methods may be called by several goroutines.
type Client struct {
	address string

	mu   sync.Mutex
	idle []*connection // the one used last is at the end
}

// New returns a client of an address, "host:port". It connects with the first request.
func New(address string) *Client { return &Client{address: address} }

// Do carries out one request; a nil body sends none. The timeout covers connecting,
// sending and the whole answer. Its errors match ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Do(method, path string, body []byte, timeout time.Duration) (Response, error) {
	deadline := time.Now().Add(timeout)
	k, err := c.connect(timeout)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	_ = k.SetDeadline(deadline)
	response, reusable, err := k.roundTrip(c.formatRequest(method, path, body))
	if err != nil {
		_ = k.Close()
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if reusable {
		c.putIdle(k)
	} else {
		_ = k.Close()
	}
	return response, nil
}

// connect returns the idle connection that was used last, if it is fresh enough to be
// trusted, and else a new one.
func (c *Client) connect(timeout time.Duration) (*connection, error) {
	if k := c.takeIdle(); k != nil {
		return k, nil
	}
	n, err := net.DialTimeout("tcp4", c.address, timeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: n, reader: bufio.NewReaderSize(n, readBufferBytes)}, nil
}

// takeIdle takes a fresh connection out of the pool and closes stale ones on the way;
// nil if there is none.
func (c *Client) takeIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		k := c.idle[last]
		c.idle = c.idle[:last]
		if time.Since(k.lastUsed) < tuning.IdleConnectionLifetime {
			return k
		}
		_ = k.Close()
	}
	return nil
}

// putIdle puts a connection into the pool, or closes it if the pool is full.
func (c *Client) putIdle(k *connection) {
	k.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= tuning.MaxIdleConnections {
		_ = k.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// formatRequest returns the bytes of a formatRequest.
func (c *Client) formatRequest(method, path string, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(len(body) + requestHeadBytes)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, c.address)
	if body != nil || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// roundTrip sends a request's bytes and reads the answer; reusable tells whether the other
// side keeps the connection open.
func (k *connection) roundTrip(request []byte) (response Response, reusable bool, err error) {
	if _, err := k.Write(request); err != nil {
		return Response{}, false, err
	}
	r, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return Response{}, false, err
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return Response{}, false, err
	}
	return Response{Status: r.StatusCode, Body: body}, !r.Close, nil
}
