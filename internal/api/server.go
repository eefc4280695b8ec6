// Package api is the HTTP side of a controller: users submit, query and cancel jobs, and
// workers send heartbeats that are answered with commands. The structs with JSON tags have
// the protocol's names; everything else uses the types of packages domain and scheduler,
// and each name is mapped once, here.
package api

import (
	"net"
	"net/http"
	"sync/atomic"

	json "github.com/goccy/go-json"
	"github.com/labstack/echo/v4"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// The paths that are served.
const (
	readyPath     = "/up"
	metricsPath   = "/metrics"
	jobsPath      = "/v1/jobs"
	jobPath       = "/v1/jobs/:id"
	cancelPath    = "/v1/jobs/:id/abort"
	heartbeatPath = "/checkin"
)

// Backend is the event loop that the requests go through.
type Backend interface {
	// Request makes an event for a request number, puts it into the loop and waits for
	// the scheduler's reply. ok is false if the loop's queue is full or no reply came in time.
	Request(fromWorker bool, newEvent func(requestID uint64) scheduler.Event) (reply scheduler.Effect, ok bool)
	// Ready tells whether a load balancer should send users here.
	Ready() bool
}

// New returns the HTTP server of users and workers. maxConnections is how many sockets
// the process may have; 0: no limit is known. metrics answers GET /metrics, which is not
// found if metrics is nil.
func New(backend Backend, maxConnections int, metrics http.Handler) *http.Server {
	h := &handler{backend: backend, maxConnections: maxConnections}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.JSONSerializer = jsonSerializer{}
	e.HTTPErrorHandler = writeError
	e.GET(readyPath, h.handleReady)
	if metrics != nil {
		e.GET(metricsPath, echo.WrapHandler(metrics))
	}
	e.POST(jobsPath, h.submitJob)
	e.GET(jobPath, h.queryJob)
	e.POST(cancelPath, h.cancelJob)
	e.POST(heartbeatPath, h.handleHeartbeat)
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		IdleTimeout:       tuning.ServerIdleTimeout,
		ConnState:         h.countConnections,
	}
}

// handler answers requests; its methods are called by one goroutine for each.
type handler struct {
	backend             Backend
	maxConnections      int          // sockets that the process may have; 0: not known
	openConnections     atomic.Int64 // of users and workers
	malformedHeartbeats atomic.Int64 // since the start
}

func (h *handler) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.openConnections.Add(-1)
	}
}

// connectionsExceed tells whether more than a percentage of the sockets is taken.
func (h *handler) connectionsExceed(percent int64) bool {
	return h.maxConnections > 0 && 100*h.openConnections.Load() > percent*int64(h.maxConnections)
}

func (h *handler) handleReady(c echo.Context) error {
	if !h.backend.Ready() {
		return unavailable("not ready")
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// jsonSerializer makes echo use the JSON package of the other boundaries.
type jsonSerializer struct{}

// Serialize writes an answer's body.
func (jsonSerializer) Serialize(c echo.Context, answer any, _ string) error {
	body, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	_, err = c.Response().Write(body)
	return err
}

// Deserialize reads a request's body.
func (jsonSerializer) Deserialize(c echo.Context, request any) error {
	return json.NewDecoder(c.Request().Body).Decode(request)
}
