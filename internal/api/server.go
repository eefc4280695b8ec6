package api

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	json "github.com/goccy/go-json"
	"github.com/labstack/echo/v4"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// Backend is the node's event loop. Ask puts an event made for a request
// number into the loop and waits for its answer; false: the stage behind is
// full, or no answer came in time.
type Backend interface {
	Ask(worker bool, make func(req uint64) scheduler.Event) (scheduler.Effect, bool)
	Ready() bool
}

type jsonCodec struct{}

func (jsonCodec) Serialize(c echo.Context, i any, _ string) error {
	b, err := json.Marshal(i)
	if err != nil {
		return err
	}
	_, err = c.Response().Write(b)
	return err
}

func (jsonCodec) Deserialize(c echo.Context, i any) error {
	return json.NewDecoder(c.Request().Body).Decode(i)
}

// New returns the HTTP server of users and workers. conns is how many sockets
// the process may have; 0: no limit known. metrics answers GET /metrics; nil: that is
// not found.
func New(b Backend, conns int, metrics http.Handler) *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.JSONSerializer = jsonCodec{}
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		code := http.StatusInternalServerError
		if h, ok := errors.AsType[*echo.HTTPError](err); ok {
			code = h.Code
		}
		if !c.Response().Committed {
			_ = c.JSON(code, failure{http.StatusText(code)})
		}
	}
	h := &handler{b: b, most: conns}
	e.GET("/up", h.up)
	if metrics != nil {
		e.GET("/metrics", echo.WrapHandler(metrics))
	}
	e.POST("/v1/jobs", h.submit)
	e.GET("/v1/jobs/:id", h.poll)
	e.POST("/v1/jobs/:id/abort", h.abort)
	e.POST("/checkin", h.checkin)
	return &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: tuning.ServedIdle, ConnState: h.count}
}

type handler struct {
	b    Backend
	most int          // sockets
	open atomic.Int64 // connections of users and workers
	bad  atomic.Int64 // malformed reports
}

func (h *handler) count(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		h.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.open.Add(-1)
	}
}

// crowded tells whether more than a part of the sockets is taken.
func (h *handler) crowded(percent int64) bool {
	return h.most > 0 && 100*h.open.Load() > percent*int64(h.most)
}

func body(c echo.Context) ([]byte, bool) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, tuning.BodyLimit+1))
	return b, err == nil && len(b) <= tuning.BodyLimit
}

func later(c echo.Context, why string) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	return c.JSON(http.StatusServiceUnavailable, failure{why})
}

func (h *handler) up(c echo.Context) error {
	if !h.b.Ready() {
		return later(c, "not ready")
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (h *handler) user(c echo.Context, make func(uint64) scheduler.Event) error {
	// Workers hold on to their connections, hundreds of them, and come all to one
	// node when the others end: users make room for them.
	if h.crowded(tuning.ConnectionShare) {
		c.Response().Header().Set("Connection", "close")
	}
	if h.crowded(tuning.MaxConnections) {
		return later(c, "too many connections")
	}
	a, ok := h.b.Ask(false, make)
	u, is := a.(scheduler.UserReply)
	if !ok || !is {
		return later(c, "busy")
	}
	switch {
	case u.Status == 200 || u.Status == 201:
		return c.JSON(u.Status, jobAnswer{u.ID, u.State, u.Done, u.Running})
	case u.Status == 503:
		return later(c, u.Reason)
	}
	return c.JSON(u.Status, failure{u.Reason})
}

func (h *handler) submit(c echo.Context) error {
	b, ok := body(c)
	if !ok {
		return c.JSON(http.StatusBadRequest, failure{"body unreadable or over 64 KiB"})
	}
	id, spec := ParseSubmission(b)
	return h.user(c, func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: spec} })
}

func (h *handler) poll(c echo.Context) error {
	id := c.Param("id")
	if !idForm.MatchString(id) {
		return c.JSON(http.StatusNotFound, failure{"no such job"})
	}
	return h.user(c, func(r uint64) scheduler.Event { return scheduler.JobQueried{RequestID: r, ID: id} })
}

func (h *handler) abort(c echo.Context) error {
	id := c.Param("id")
	if !idForm.MatchString(id) {
		return c.JSON(http.StatusNotFound, failure{"no such job"})
	}
	return h.user(c, func(r uint64) scheduler.Event { return scheduler.JobCancelled{RequestID: r, ID: id} })
}

func (h *handler) checkin(c echo.Context) error {
	b, ok := body(c)
	var r domain.Heartbeat
	if ok {
		r, ok = ParseReport(b)
	}
	if !ok {
		slog.Info("malformed report", "from", c.Request().RemoteAddr, "bytes", len(b), "count", h.bad.Add(1))
		return c.JSON(http.StatusBadRequest, failure{"malformed report"})
	}
	a, ok := h.b.Ask(true, func(req uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: req, Heartbeat: r} })
	w, is := a.(scheduler.HeartbeatReply)
	if !ok || !is {
		return later(c, "busy")
	}
	switch w.Status {
	case 200:
		return c.JSON(200, checkinAnswer{w.FencingToken, orders(w.Commands)})
	case 421:
		return c.JSON(421, foreman{w.Owner})
	}
	return later(c, "not entitled")
}
