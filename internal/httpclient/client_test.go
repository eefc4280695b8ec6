package httpclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// serveOnce starts a server that sends the given bytes in response to the first request and
// closes the connection. It returns the server's address and a channel that receives the bytes
// of the request.
func serveOnce(t *testing.T, response string) (addr string, request <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	got := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, head := bufio.NewReader(c), ""
		for !strings.HasSuffix(head, "\r\n\r\n") {
			line, err := r.ReadString('\n')
			if err != nil {
				break
			}
			head += line
		}
		if strings.Contains(head, "Content-Length: 7") {
			body := make([]byte, 7)
			_, _ = io.ReadFull(r, body)
			head += string(body)
		}
		got <- head
		_, _ = io.WriteString(c, response)
	}()
	return ln.Addr().String(), got
}

// TestRequestBytes checks the exact bytes that Do sends.
func TestRequestBytes(t *testing.T) {
	for name, x := range map[string]struct {
		method, path string
		body         []byte
		want         string
	}{
		"get":           {"GET", "/kv?Since=a", nil, "GET /kv?Since=a HTTP/1.1\r\nHost: ADDR\r\n\r\n"},
		"post":          {"POST", "/commit", []byte(`{"a":1}`), "POST /commit HTTP/1.1\r\nHost: ADDR\r\nContent-Type: application/json\r\nContent-Length: 7\r\n\r\n{\"a\":1}"},
		"post, no body": {"POST", "/grants", nil, "POST /grants HTTP/1.1\r\nHost: ADDR\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, request := serveOnce(t, "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")
			response, err := New(addr).Do(x.method, x.path, x.body, 5*time.Second)
			if err != nil || response.Status != 409 || string(response.Body) != "{}" {
				t.Errorf("response %d %q, error %v", response.Status, response.Body, err)
			}
			if got, want := <-request, strings.ReplaceAll(x.want, "ADDR", addr); got != want {
				t.Errorf("sent %q, want %q", got, want)
			}
		})
	}
}

// TestErrNotSent checks that ErrNotSent is returned only if no connection could be made; after
// that, the outcome of a failed request is unknown.
func TestErrNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	noResponse, _ := serveOnce(t, "")
	truncated, _ := serveOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}")
	for name, x := range map[string]struct {
		addr    string
		notSent bool
	}{"refused connection": {closed, true}, "closed without a response": {noResponse, false}, "truncated response": {truncated, false}} {
		t.Run(name, func(t *testing.T) {
			_, err := New(x.addr).Do("GET", "/", nil, 5*time.Second)
			if err == nil || errors.Is(err, ErrNotSent) != x.notSent || errors.Is(err, ErrOutcomeUnknown) == x.notSent {
				t.Errorf("error %v, want ErrNotSent: %v", err, x.notSent)
			}
		})
	}
}
