package kvstore

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// TestCommitResults checks the request that Commit sends, and the result that it returns for
// each status and body of the response.
func TestCommitResults(t *testing.T) {
	for name, x := range map[string]struct {
		status int
		body   string
		want   scheduler.CommitAnswered
	}{
		"committed":          {200, `{"Ledger":432}`, scheduler.CommitAnswered{ID: 9, Result: domain.Committed, Revision: 432}},
		"conflict":           {409, `{"failed":["b/x"],"Ledger":431}`, scheduler.CommitAnswered{ID: 9, Result: domain.Conflict, Revision: 431, Failed: []string{"b/x"}}},
		"malformed":          {400, `{"error":"no such lease"}`, scheduler.CommitAnswered{ID: 9, Result: domain.Refused, Malformed: true}},
		"throttled":          {429, ``, scheduler.CommitAnswered{ID: 9, Result: domain.Refused}},
		"unavailable":        {503, ``, scheduler.CommitAnswered{ID: 9, Result: domain.Refused}},
		"truncated response": {200, `{"Led`, scheduler.CommitAnswered{ID: 9, Result: domain.InDoubt}},
		"truncated conflict": {409, `{"Led`, scheduler.CommitAnswered{ID: 9, Result: domain.InDoubt}},
		"internal error":     {500, ``, scheduler.CommitAnswered{ID: 9, Result: domain.InDoubt}},
		"not found":          {404, ``, scheduler.CommitAnswered{ID: 9, Result: domain.InDoubt}},
	} {
		t.Run(name, func(t *testing.T) {
			var path, body string
			c := newTestClient(t, func(_, p, b string) (int, string) {
				path, body = p, b
				return x.status, x.body
			})
			got := c.Commit(scheduler.Commit{ID: 9, Transaction: domain.Transaction{
				Conditions: []domain.Condition{{Key: "b/a", ModRevision: 3}},
				Puts:       []domain.Put{{Key: "b/a", Value: []byte(`{"z":1}`), LeaseID: 7}, {Key: "b/b"}},
			}})
			if !reflect.DeepEqual(got, x.want) {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := `{"When":[{"Path":"b/a","Stamp":3}],"Apply":[{"Set":"b/a","V":{"z":1},"Permit":7},{"Delete":"b/b"}]}`; path != "/commit" || body != want {
				t.Errorf("sent %s %s", path, body)
			}
		})
	}
}

// TestThrottledUserCommitIsRetried checks that a commit in the user lane is sent again after
// status 429, up to twice. Commits in other lanes aren't: the scheduler retries them itself
// after a pause.
func TestThrottledUserCommitIsRetried(t *testing.T) {
	for name, x := range map[string]struct {
		lane, throttled, requests int
		want                      domain.CommitResult
	}{
		"user lane, throttled once":   {scheduler.LaneUser, 1, 2, domain.Committed},
		"user lane, always throttled": {scheduler.LaneUser, 9, 3, domain.Refused},
		"task lane, throttled once":   {scheduler.LaneTask, 1, 1, domain.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			c := newTestClient(t, func(_, _, _ string) (int, string) {
				requests++
				if requests <= x.throttled {
					return 429, ``
				}
				return 200, `{"Ledger":1}`
			})
			if got := c.Commit(scheduler.Commit{Lane: x.lane}); got.Result != x.want || requests != x.requests {
				t.Errorf("got %+v after %d requests", got, requests)
			}
		})
	}
}

// TestRefusedConnectionRefusesCommit checks that a commit is refused, not in doubt, if no
// connection could be made: the transaction was certainly not executed.
func TestRefusedConnectionRefusesCommit(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	if got := New(addr, 1000, 1000).Commit(scheduler.Commit{ID: 1}); got.Result != domain.Refused {
		t.Errorf("got %+v, want it refused", got)
	}
}

// TestConfirm checks that Confirm sends a transaction whose only content is the condition on
// the view's revision, and that the result holds the state service's revision.
func TestConfirm(t *testing.T) {
	for name, x := range map[string]struct {
		status int
		body   string
		want   scheduler.ConfirmationAnswered
	}{
		"same revision":      {200, `{"Ledger":7}`, scheduler.ConfirmationAnswered{OK: true, Same: true, Revision: 7}},
		"different revision": {409, `{"failed":["b/view"],"Ledger":8}`, scheduler.ConfirmationAnswered{OK: true, Revision: 8}},
		"truncated response": {200, `{"Led`, scheduler.ConfirmationAnswered{}},
		"unavailable":        {503, ``, scheduler.ConfirmationAnswered{}},
		"malformed":          {400, `{}`, scheduler.ConfirmationAnswered{}},
	} {
		t.Run(name, func(t *testing.T) {
			var sent string
			c := newTestClient(t, func(method, path, body string) (int, string) {
				sent = method + " " + path + " " + body
				return x.status, x.body
			})
			if got := c.Confirm(scheduler.ConfirmView{Key: "b/view", ModRevision: 6}); got != x.want {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := `POST /commit {"When":[{"Path":"b/view","Stamp":6}]}`; sent != want {
				t.Errorf("sent %s, want %s", sent, want)
			}
		})
	}
}

// TestRead checks that a key that doesn't exist is left out, and that the result isn't OK if a
// read fails.
func TestRead(t *testing.T) {
	for name, x := range map[string]struct {
		status int
		body   string
		want   scheduler.KeysRead
	}{
		"found":              {200, `{"Path":"b/a","V":{"z":1},"Stamp":3}`, scheduler.KeysRead{ID: 4, OK: true, Items: []domain.KeyValue{{Key: "b/a", Value: []byte(`{"z":1}`), ModRevision: 3}}}},
		"not found":          {404, ``, scheduler.KeysRead{ID: 4, OK: true}},
		"truncated response": {200, `{"Pa`, scheduler.KeysRead{ID: 4}},
		"unavailable":        {503, ``, scheduler.KeysRead{ID: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			var sent string
			c := newTestClient(t, func(method, path, body string) (int, string) {
				sent = method + " " + path + " " + body
				return x.status, x.body
			})
			if got := c.Read(scheduler.ReadKeys{ID: 4, Keys: []string{"b/a"}}); !reflect.DeepEqual(got, x.want) {
				t.Errorf("got %+v, want %+v", got, x.want)
			}
			if want := "GET /kv/b/a "; sent != want {
				t.Errorf("sent %q, want %q", sent, want)
			}
		})
	}
}
