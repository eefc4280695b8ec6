package kvstore

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// newTestClient returns a client of a test server that responds to every request with the
// status and body that respond returns.
func newTestClient(t *testing.T, respond func(method, path, body string) (int, string)) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		code, out := respond(r.Method, r.URL.String(), string(b))
		w.WriteHeader(code)
		_, _ = io.WriteString(w, out)
	}))
	t.Cleanup(s.Close)
	return New(strings.TrimPrefix(s.URL, "http://"), 1000, 1000)
}
