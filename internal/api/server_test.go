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

// fakeBackend is a Backend that always gives the same reply and records the last event. A nil
// reply stands for a full queue and for a controller that is not ready.
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
		reply              scheduler.Effect
		code               int
		want, retry        string
	}{
		"accepted":                      {"POST", "/v1/jobs", validSubmission, scheduler.UserReply{Status: 201, ID: "job-000412", State: "pending"}, 201, `{"NameId":"job-000412","Status":"pending","done":0,"running":0}`, ""},
		"full user queue":               {"POST", "/v1/jobs", validSubmission, nil, 503, `{"error":"busy"}`, "1"},
		"scheduler not ready":           {"POST", "/v1/jobs", validSubmission, scheduler.UserReply{Status: 503, Reason: "not ready"}, 503, `{"error":"not ready"}`, "1"},
		"too large":                     {"POST", "/v1/jobs", strings.Repeat(" ", 64<<10) + validSubmission, scheduler.UserReply{Status: 201}, 400, `{"error":"request body is unreadable or longer than 64 KiB"}`, ""},
		"id taken":                      {"POST", "/v1/jobs", validSubmission, scheduler.UserReply{Status: 409, Reason: "taken"}, 409, `{"error":"taken"}`, ""},
		"malformed id":                  {"GET", "/v1/jobs/x", "", scheduler.UserReply{Status: 200}, 404, `{"error":"no such job"}`, ""},
		"cancel malformed id":           {"POST", "/v1/jobs/x/abort", "", scheduler.UserReply{Status: 200}, 404, `{"error":"no such job"}`, ""},
		"no such path":                  {"GET", "/v2/jobs", "", scheduler.UserReply{Status: 200}, 404, `{"error":"Not Found"}`, ""},
		"unsupported method":            {"DELETE", "/v1/jobs", "", scheduler.UserReply{Status: 200}, 405, `{"error":"Method Not Allowed"}`, ""},
		"reply of another type":         {"GET", "/v1/jobs/job-000412", "", scheduler.HeartbeatReply{Status: 200}, 503, `{"error":"busy"}`, "1"},
		"query":                         {"GET", "/v1/jobs/job-000412", "", scheduler.UserReply{Status: 200, ID: "job-000412", State: "running", Done: 3, Running: 13}, 200, `{"NameId":"job-000412","Status":"running","done":3,"running":13}`, ""},
		"cancel":                        {"POST", "/v1/jobs/job-000412/abort", "", scheduler.UserReply{Status: 200, ID: "job-000412", State: "cancelled"}, 200, `{"NameId":"job-000412","Status":"cancelled","done":0,"running":0}`, ""},
		"readiness: ready":              {"GET", "/up", "", scheduler.UserReply{}, 200, `{}`, ""},
		"readiness: not ready":          {"GET", "/up", "", nil, 503, `{"error":"not ready"}`, "1"},
		"machine of another controller": {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 421, Owner: "c-2"}, 421, `{"Foreman":"c-2"}`, ""},
		"commands not allowed":          {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 503}, 503, `{"error":"controller may not give commands now"}`, "1"},
		"full worker queue":             {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, nil, 503, `{"error":"busy"}`, "1"},
		"malformed heartbeat":           {"POST", "/checkin", `{"Bracket":"n-1"}`, nil, 400, `{"error":"malformed report"}`, ""},
		"owner unknown":                 {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 421}, 421, `{}`, ""},
		"commands": {"POST", "/checkin", `{"Bracket":"n-1","Shift":1}`, scheduler.HeartbeatReply{Status: 200, FencingToken: 41, Commands: []domain.Command{
			{Kind: domain.StartTask, Task: domain.TaskID{Job: "job-000412", Index: 4}, Attempt: 2},
			{Kind: domain.StopTask, Task: domain.TaskID{Job: "job-000377", Index: 1}, Attempt: 1, GraceSeconds: 10}}},
			200, `{"Baton":41,"Orders":[{"Verb":"run","Piece":"job-000412/4","Try":2},{"Verb":"halt","Piece":"job-000377/1","Try":1,"LeewayS":10}]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			New(&fakeBackend{reply: x.reply}, 0, nil).Handler.ServeHTTP(w, httptest.NewRequest(x.method, x.path, strings.NewReader(x.body)))
			if w.Code != x.code || w.Body.String() != x.want || w.Header().Get("Retry-After") != x.retry {
				t.Errorf("got status %d, body %s, Retry-After %q", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
			if contentType := w.Header().Get("Content-Type"); contentType != "application/json" {
				t.Errorf("Content-Type %q, want application/json", contentType)
			}
		})
	}
}

// TestMalformedSubmissionKeepsJobID checks that a malformed submission reaches the scheduler
// with the job's ID. A repeated submission of an accepted job must get 200 even if it is
// malformed, and only the scheduler knows whether the job was accepted.
func TestMalformedSubmissionKeepsJobID(t *testing.T) {
	f := &fakeBackend{reply: scheduler.UserReply{Status: 200, ID: "job-000412", State: "done"}}
	w := httptest.NewRecorder()
	New(f, 0, nil).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(`{"NameId":"job-000412"}`)))
	if e, ok := f.event.(scheduler.JobSubmitted); !ok || e.ID != "job-000412" || e.Spec != nil || w.Code != 200 {
		t.Errorf("event %+v, status %d; want a submission with the ID and no spec, status 200", f.event, w.Code)
	}
}

// TestConnectionLimitAppliesToUsersOnly checks that users' connections are closed and users are
// refused when few sockets are left, while workers are still served. When all other controllers
// fail, their workers connect to this one and keep their connections open.
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
			t.Fatalf("%d connections: query got status %d", open, w.Code)
		}
		if w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Error("status 503 without Retry-After")
		}
		if closed := w.Header().Get("Connection") == "close"; closed != (open > 70) {
			t.Fatalf("%d connections: response asks to close the connection: %v", open, closed)
		}
	}
	f.reply = scheduler.HeartbeatReply{Status: 200, FencingToken: 7}
	if w := do(http.MethodPost, "/checkin", `{"Bracket":"n-1","Shift":1}`); w.Code != 200 {
		t.Errorf("heartbeat with few sockets left: status %d, want 200", w.Code)
	}
	for i := 0; i < 40; i++ {
		s.ConnState(nil, http.StateClosed)
	}
	f.reply = scheduler.UserReply{Status: 200, ID: "job-000412", State: "running"}
	if w := do(http.MethodGet, "/v1/jobs/job-000412", ""); w.Code != 200 {
		t.Errorf("query after 40 connections closed: status %d, want 200", w.Code)
	}
}

// TestMalformedHeartbeatIsRejected checks that a malformed heartbeat gets status 400, is
// counted and never reaches the scheduler.
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
			t.Errorf("%s: status %d, event %v, count %d", body, w.Code, f.event, h.malformedHeartbeats.Load())
		}
	}
}

// TestMetricsServedOnlyIfEnabled checks that GET /metrics is not found unless the operators
// enabled metrics.
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
