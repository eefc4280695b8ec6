// Package api is the HTTP interface of a controller: users submit, query and cancel jobs, and
// workers send heartbeats and receive commands in the responses. The JSON tags in this package
// are the protocol's names. The rest of the program uses the types of packages domain and
// scheduler; this package is the only place that maps the protocol's names to them.
package api

import (
	"net"
	"net/http"
	"sync/atomic"

	json "github.com/goccy/go-json"
	"github.com/labstack/echo/v4"

	"brassglade/internal/exactjson"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// The paths of the HTTP server.
const (
	readyPath     = "/up"
	metricsPath   = "/metrics"
	jobsPath      = "/v1/jobs"
	jobPath       = "/v1/jobs/:id"
	cancelPath    = "/v1/jobs/:id/abort"
	heartbeatPath = "/checkin"
)

// Backend passes requests to the scheduler's event loop.
type Backend interface {
	// Request queues a request for the event loop, which assigns the request's ID and
	// creates the event with newEvent, and waits for the scheduler's reply. ok is false if
	// the queue is full or no reply came in time.
	Request(fromWorker bool, newEvent func(requestID uint64) scheduler.Event) (reply scheduler.Effect, ok bool)
	// Ready reports whether a load balancer should send users to this controller.
	Ready() bool
}

// New returns the HTTP server for users and workers. maxConnections is how many sockets the
// process may have open; 0 means that the limit is unknown. metrics handles GET /metrics; if
// it is nil, the path is not found.
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

// handler handles the HTTP requests. Its methods may be called concurrently: the server runs
// one goroutine for each connection.
type handler struct {
	backend             Backend
	maxConnections      int          // sockets that the process may have open; 0: unknown
	openConnections     atomic.Int64 // of users and workers
	malformedHeartbeats atomic.Int64 // count since the start
}

func (h *handler) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.openConnections.Add(-1)
	}
}

// connectionsExceed reports whether the open connections take more than a percentage of the
// sockets that the process may have open; false if that limit is unknown.
func (h *handler) connectionsExceed(percent int64) bool {
	return h.maxConnections > 0 && 100*h.openConnections.Load() > percent*int64(h.maxConnections)
}

func (h *handler) handleReady(c echo.Context) error {
	if !h.backend.Ready() {
		return unavailable("not ready")
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// jsonSerializer makes echo use the JSON package that the program's other interfaces use.
type jsonSerializer struct{}

// Serialize writes the body of a response.
func (jsonSerializer) Serialize(c echo.Context, response any, _ string) error {
	body, err := json.Marshal(response)
	if err != nil {
		return err
	}
	_, err = c.Response().Write(body)
	return err
}

// Deserialize reads the body of a request.
func (jsonSerializer) Deserialize(c echo.Context, request any) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	return exactjson.Unmarshal(body, request)
}
