package kvstore

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// newTestClient answers every request with what f says.
func newTestClient(t *testing.T, f func(method, path, body string) (int, string)) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		code, out := f(r.Method, r.URL.String(), string(b))
		w.WriteHeader(code)
		_, _ = io.WriteString(w, out)
	}))
	t.Cleanup(s.Close)
	return New(strings.TrimPrefix(s.URL, "http://"), 1000, 1000)
}
