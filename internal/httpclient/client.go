// Package httpclient is a small HTTP/1.1 client on top of package net, for requests to the
// state service, the cloud and the workers. It keeps a pool of idle connections for each
// address, sends one request at a time over a connection and sets a deadline for each request.
// It also provides RateLimiter, which keeps requests within published rates.
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

// The two ways in which a request can fail. Each error that Do returns matches exactly one.
var (
	// ErrNotSent means that the request was not sent, and so certainly not executed.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown means that the request may or may not have been executed.
	ErrOutcomeUnknown = errors.New("outcome of the request unknown")
)

const (
	readBufferBytes  = 8 << 10 // size of a connection's read buffer
	requestHeadBytes = 160     // buffer space for a request's head, which has two to four short lines
)

// Response is the response to a request, with any status.
type Response struct {
	Status int
	Body   []byte
}

// connection is a TCP connection that carries one request at a time.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// Client sends requests to one address. Its methods may be called by several goroutines.
type Client struct {
	address string

	mu   sync.Mutex
	idle []*connection // the most recently used is the last
}

// New returns a client of a server's address, "host:port". It connects on the first request.
func New(address string) *Client { return &Client{address: address} }

// Do sends a request, with no body if body is nil, and returns the response. The timeout
// covers connecting, sending and reading the whole response. An error matches ErrNotSent or
// ErrOutcomeUnknown.
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

// connect returns the most recently used idle connection if its last use is less than
// tuning.IdleConnectionLifetime ago, and otherwise a new one.
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

// takeIdle removes the most recently used connection from the pool and returns it. It closes
// connections that were idle for tuning.IdleConnectionLifetime, and returns nil if no other is
// left.
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

// putIdle returns a connection to the pool, or closes it if the pool is full.
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

// formatRequest returns the bytes of a request. A POST without a body has Content-Length 0.
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

// roundTrip sends the bytes of a request and reads the response. reusable reports whether the
// server keeps the connection open.
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
