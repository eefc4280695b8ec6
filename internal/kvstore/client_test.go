package kvstore

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brassglade/internal/scheduler"

	"brassglade/internal/domain"
)

// serve answers every request with what f says.
func serve(t *testing.T, f func(method, path, body string) (int, string)) *Client {
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

// TestCommitResults: what each answer means for a transaction's fate.
func TestCommitResults(t *testing.T) {
	for _, x := range []struct {
		code int
		body string
		want domain.CommitResult
	}{
		{200, `{"Ledger":432}`, domain.Committed},
		{409, `{"failed":["b/x"],"Ledger":431}`, domain.Conflict},
		{400, `{"error":"no such lease"}`, domain.Refused},
		{429, ``, domain.Refused},
		{503, ``, domain.Refused},
		{200, `{"Led`, domain.InDoubt},
		{500, ``, domain.InDoubt},
	} {
		var path, body string
		c := serve(t, func(_, p, b string) (int, string) {
			path, body = p, b
			return x.code, x.body
		})
		ev := c.Commit(scheduler.Commit{ID: 9, Transaction: domain.Transaction{
			Conditions: []domain.Condition{{Key: "b/a", ModRevision: 3}},
			Puts:       []domain.Put{{Key: "b/a", Value: []byte(`{"z":1}`), LeaseID: 7}, {Key: "b/b"}},
		}})
		if ev.ID != 9 || ev.Result != x.want {
			t.Errorf("%d %s: %+v", x.code, x.body, ev)
		}
		if want := `{"When":[{"Path":"b/a","Stamp":3}],"Apply":[{"Set":"b/a","V":{"z":1},"Permit":7},{"Delete":"b/b"}]}`; path != "/commit" || body != want {
			t.Errorf("sent %s %s", path, body)
		}
	}
}

// TestRefusedConnectionIsNotSent: such a transaction certainly did not run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	if ev := New(addr, 1000, 1000).Commit(scheduler.Commit{ID: 1}); ev.Result != domain.Refused {
		t.Errorf("%+v", ev)
	}
}

// TestSnapshotPages: a snapshot reads all pages and keeps the first's ledger,
// from which the watch repairs what changed meanwhile; 410 asks for a new one.
func TestSnapshotPages(t *testing.T) {
	c := serve(t, func(_, p, _ string) (int, string) {
		switch {
		case strings.HasPrefix(p, "/watch"):
			if strings.Contains(p, "Since=5&") {
				return 200, `{"Ledger":8,"Events":[{"Delete":"b/k","Stamp":8},{"Set":"b/j","V":2,"Stamp":7}]}`
			}
			return 410, ``
		case strings.Contains(p, "Since="):
			return 200, `{"Items":[{"Path":"b/k","V":2,"Stamp":6}],"Truncated":false,"Ledger":6}`
		}
		return 200, `{"Items":[{"Path":"b/a","V":1,"Stamp":4}],"Truncated":true,"Ledger":5}`
	})
	var got []scheduler.Event
	since, err := c.snapshot(func(e scheduler.Event) { got = append(got, e) })
	if err != nil || since != 5 || len(got) != 1 || len(got[0].(scheduler.SnapshotLoaded).Items) != 2 {
		t.Fatalf("since %d, %v, %+v", since, err, got)
	}
	clock := func() time.Duration { return 3 * time.Second }
	next, again := c.changes(since, clock, func(e scheduler.Event) { got = append(got, e) })
	w := got[1].(scheduler.WatchAdvanced)
	if next != 8 || again || w.Sent != clock() || len(w.Items) != 2 || w.Items[0].Key != "b/j" || w.Items[1].Value != nil {
		t.Errorf("next %d, %v, %+v", next, again, w)
	}
	if _, again := c.changes(next, clock, func(scheduler.Event) {}); !again {
		t.Error("410 asks for no snapshot")
	}
}
