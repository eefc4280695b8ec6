package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// TestSendCommands checks the bytes of the request and the result of each kind of response.
func TestSendCommands(t *testing.T) {
	const heartbeatJSON = `{"Bracket":"n-1","Shift":3,"Tally":9}`
	for name, x := range map[string]struct {
		status        int
		body          string
		ok, heartbeat bool
	}{
		"accepted":                       {200, heartbeatJSON, true, true},
		"another agent epoch":            {409, heartbeatJSON, false, true},
		"malformed heartbeat":            {200, `{"Bracket":"n-1"}`, true, false},
		"another machine at the address": {200, `{"Bracket":"n-2","Shift":3}`, true, false},
		"internal error":                 {500, heartbeatJSON, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			var sent string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					t.Error(err)
				}
				sent = r.Method + " " + r.URL.String() + " " + string(body)
				w.WriteHeader(x.status)
				_, _ = io.WriteString(w, x.body)
			}))
			t.Cleanup(s.Close)
			got := newWorkerClients().send(scheduler.SendCommands{
				Machine: "n-1", Addr: strings.TrimPrefix(s.URL, "http://"), FencingToken: 41, AgentEpoch: 3,
				Commands: []domain.Command{{Kind: domain.StopTask, Task: domain.TaskID{Job: "job-000412", Index: 4}, Attempt: 2, GraceSeconds: 1.5}},
			})
			if got.Machine != "n-1" || got.OK != x.ok || (got.Heartbeat != nil) != x.heartbeat {
				t.Errorf("result %+v", got)
			}
			if x.heartbeat && got.Heartbeat.Sequence != 9 {
				t.Errorf("heartbeat %+v", got.Heartbeat)
			}
			want := `POST /commands {"Baton":41,"Shift":3,"Orders":[{"Verb":"halt","Piece":"job-000412/4","Try":2,"LeewayS":1.5}]}`
			if sent != want {
				t.Errorf("sent %s, want %s", sent, want)
			}
		})
	}
}

// TestWorkerClientsAreBounded checks that the number of clients has a limit and that a client is
// reused. Machines come and go while the process runs, so clients would otherwise accumulate.
func TestWorkerClientsAreBounded(t *testing.T) {
	w := newWorkerClients()
	first := w.client("a")
	if w.client("a") != first {
		t.Error("a worker's client is not reused")
	}
	for i := range 3 * tuning.MaxWorkerClients {
		w.client(strings.Repeat("x", i+1))
		if len(w.byAddress) > tuning.MaxWorkerClients+1 {
			t.Fatalf("%d clients are kept, want at most one more than tuning.MaxWorkerClients", len(w.byAddress))
		}
	}
}
