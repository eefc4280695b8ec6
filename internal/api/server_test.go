package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// fakeBackend is a backend that gives one reply; none stands for a full queue.
type fakeBackend struct {
	reply scheduler.Effect
	event scheduler.Event
}

func (f *fakeBackend) Ready() bool { return f.reply != nil }

func (f *fakeBackend) Request(_ bool, newEvent func(uint64) scheduler.Event) (scheduler.Effect, bool) {
	f.event = newEvent(1)
	return f.reply, f.reply != nil
}

func TestResponses(t *testing.T) {
	for name, x := range map[string]struct {
		method, path, body string
		answer             scheduler.Effect
		code               int
		want, retry        string
	}{
		"accepted":     {"POST", "/v1/jobs", validSubmission, scheduler.UserReply{Status: 201, ID: "job-000412", State: "pending"}, 201, `{"NameId":"job-000412","Status":"pending","done":0,"running":0}`, ""},
		"full stage":   {"POST", "/v1/jobs", validSubmission, nil, 503, `{"error":"busy"}`, "1"},
		"not ready":    {"POST", "/v1/jobs", validSubmission, scheduler.UserReply{Status: 503, Reason: "not ready"}, 503, `{"error":"not ready"}`, "1"},
		"too large":    {"POST", "/v1/jobs", strings.Repeat(" ", 64<<10) + validSubmission, scheduler.UserReply{Status: 201}, 400, `{"error":"body unreadable or over 64 KiB"}`, ""},
		"refused":      {"POST", "/v1/jobs", validSubmission, scheduler.UserReply{Status: 409, Reason: "taken"}, 409, `{"error":"taken"}`, ""},
		"odd id":       {"GET", "/v1/jobs/x", "", scheduler.UserReply{Status: 200}, 404, `{"error":"no such job"}`, ""},
		"abort odd id": {"POST", "/v1/jobs/x/abort", "", scheduler.UserReply{Status: 200}, 404, `{"error":"no such job"}`, ""},
		"no such path": {"GET", "/v2/jobs", "", scheduler.UserReply{Status: 200}, 404, `{"error":"Not Found"}`, ""},
		"odd method":   {"DELETE", "/v1/jobs", "", scheduler.UserReply{Status: 200}, 405, `{"error":"Method Not Allowed"}`, ""},
		"odd reply":    {"GET", "/v1/jobs/job-000412", "", scheduler.HeartbeatReply{Status: 200}, 503, `{"error":"busy"}`, "1"},
		"poll":         {"GET", "/v1/jobs/job-000412", "", scheduler.UserReply{Status: 200, ID: "job-000412", State: "running", Done: 3, Running: 13}, 200, `{"NameId":"job-000412","Status":"running","done":3,"running":13}`, ""},
		"abort":        {"POST", "/v1/jobs/job-000412/abort", "", scheduler.UserReply{Status: 200, ID: "job-000412", State: "cancelled"}, 200, `{"NameId":"job-000412","Status":"cancelled","done":0,"running":0}`, ""},
		"up":           {"GET", "/up", "", scheduler.UserReply{}, 200, `{}`, ""},
		"not up":       {"GET", "/up", "", nil, 503, `{"error":"not ready"}`, "1"},
		"other owner":  {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 421, Owner: "c-2"}, 421, `{"Foreman":"c-2"}`, ""},
		"not entitled": {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 503}, 503, `{"error":"not entitled"}`, "1"},
		"full queue":   {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, nil, 503, `{"error":"busy"}`, "1"},
		"malformed":    {"POST", "/checkin", `{"Bracket":"n-1"}`, nil, 400, `{"error":"malformed report"}`, ""},
		"no owner":     {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 421}, 421, `{}`, ""},
		"orders": {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 200, FencingToken: 41, Commands: []domain.Command{
			{Kind: domain.StartTask, Task: domain.TaskID{Job: "job-000412", Index: 4}, Attempt: 2},
			{Kind: domain.StopTask, Task: domain.TaskID{Job: "job-000377", Index: 1}, Attempt: 1, GraceSeconds: 10}}},
			200, `{"Baton":41,"Orders":[{"Verb":"run","Piece":"job-000412/4","Try":2},{"Verb":"halt","Piece":"job-000377/1","Try":1,"LeewayS":10}]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			New(&fakeBackend{reply: x.answer}, 0, nil).Handler.ServeHTTP(w, httptest.NewRequest(x.method, x.path, strings.NewReader(x.body)))
			if w.Code != x.code || w.Body.String() != x.want || w.Header().Get("Retry-After") != x.retry {
				t.Errorf("%d %s, Retry-After %q", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
			if form := w.Header().Get("Content-Type"); form != "application/json" {
				t.Errorf("Content-Type %q", form)
			}
		})
	}
}

// TestMalformedSubmissionKeepsJobID: an accepted job's repeat must get 200
// even if it is malformed, which only the scheduler can know.
func TestMalformedSubmissionKeepsJobID(t *testing.T) {
	f := &fakeBackend{reply: scheduler.UserReply{Status: 200, ID: "job-000412", State: "done"}}
	w := httptest.NewRecorder()
	New(f, 0, nil).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(`{"NameId":"job-000412"}`)))
	if e, ok := f.event.(scheduler.JobSubmitted); !ok || e.ID != "job-000412" || e.Spec != nil || w.Code != 200 {
		t.Errorf("asked %+v, answered %d", f.event, w.Code)
	}
}

// TestConnectionLimitAppliesToUsersOnly: sockets are few, and workers keep theirs. When all
// other controllers end, their workers come here.
func TestConnectionLimitAppliesToUsersOnly(t *testing.T) {
	f := &fakeBackend{reply: scheduler.UserReply{Status: 200, ID: "job-000412", State: "running"}}
	s := New(f, 100, nil)
	do := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.Handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	for open := 1; open <= 95; open++ {
		s.ConnState(nil, http.StateNew)
		w := do(http.MethodGet, "/v1/jobs/job-000412", "")
		if code := map[bool]int{true: 503, false: 200}[open > 92]; w.Code != code {
			t.Fatalf("%d connections: %d", open, w.Code)
		}
		if w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
		if closes := w.Header().Get("Connection") == "close"; closes != (open > 70) {
			t.Fatalf("%d connections: closes %v", open, closes)
		}
	}
	f.reply = scheduler.HeartbeatReply{Status: 200, FencingToken: 7}
	if w := do(http.MethodPost, "/checkin", `{"Bracket":"n-1","Shift":1}`); w.Code != 200 {
		t.Errorf("a worker got %d", w.Code)
	}
	for i := 0; i < 40; i++ {
		s.ConnState(nil, http.StateClosed)
	}
	f.reply = scheduler.UserReply{Status: 200, ID: "job-000412", State: "running"}
	if w := do(http.MethodGet, "/v1/jobs/job-000412", ""); w.Code != 200 {
		t.Errorf("after others closed: %d", w.Code)
	}
}

// TestMalformedHeartbeatIsRejected: it is refused, counted, and never reaches the scheduler.
func TestMalformedHeartbeatIsRejected(t *testing.T) {
	f := &fakeBackend{}
	h := &handler{backend: f}
	e := echo.New()
	e.HTTPErrorHandler = writeError
	e.POST(heartbeatPath, h.handleHeartbeat)
	for i, body := range []string{"{}", "[", `{"Bracket":"n-1","Shift":1,"Pieces":[{"Piece":"job-000001/x","Try":1,"Status":"running"}]}`} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/checkin", strings.NewReader(body)))
		if w.Code != 400 || f.event != nil || h.malformedHeartbeats.Load() != int64(i+1) {
			t.Errorf("%s: answered %d, asked %v, counted %d", body, w.Code, f.event, h.malformedHeartbeats.Load())
		}
	}
}

// TestMetricsServedOnlyIfEnabled: the path exists only where the operators asked for it.
func TestMetricsServedOnlyIfEnabled(t *testing.T) {
	served := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	for name, x := range map[string]struct {
		metrics http.Handler
		code    int
	}{"off": {nil, http.StatusNotFound}, "on": {served, http.StatusOK}} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			New(&fakeBackend{}, 0, x.metrics).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			if w.Code != x.code {
				t.Errorf("status %d", w.Code)
			}
		})
	}
}
