// Package httpclient is a small HTTP/1.1 client on net: a pool of kept connections,
// one goroutine a request, a deadline for each.
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

// ErrNotSent means that the request was certainly not executed.
var ErrNotSent = errors.New("not sent")

type conn struct {
	c    net.Conn
	r    *bufio.Reader
	used time.Time
}

// Client of one address.
type Client struct {
	addr string
	mu   sync.Mutex
	idle []*conn
}

// New returns a client; it connects when asked to do something.
func New(addr string) *Client { return &Client{addr: addr} }

func (c *Client) get(timeout time.Duration) (*conn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(k.used) < tuning.IdleConn {
			c.mu.Unlock()
			return k, nil
		}
		_ = k.c.Close()
	}
	c.mu.Unlock()
	n, err := net.DialTimeout("tcp4", c.addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &conn{c: n, r: bufio.NewReaderSize(n, 8<<10)}, nil
}

func (c *Client) put(k *conn) {
	k.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= tuning.ClientConns {
		_ = k.c.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// Do carries out one request. An error other than ErrNotSent leaves open
// whether it was executed.
func (c *Client) Do(method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	end := time.Now().Add(timeout)
	k, err := c.get(timeout)
	if err != nil {
		return 0, nil, err
	}
	_ = k.c.SetDeadline(end)
	var b bytes.Buffer
	b.Grow(len(body) + 160)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, c.addr)
	if body != nil || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := k.c.Write(b.Bytes()); err != nil {
		_ = k.c.Close()
		return 0, nil, err
	}
	r, err := http.ReadResponse(k.r, nil)
	if err != nil {
		_ = k.c.Close()
		return 0, nil, err
	}
	out, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		_ = k.c.Close()
		return 0, nil, err
	}
	if r.Close {
		_ = k.c.Close()
	} else {
		c.put(k)
	}
	return r.StatusCode, out, nil
}
