package api

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"brassglade/internal/tuning"
)

// errUnreadableBody means that a request's body can't be read or is longer than tuning.BodyLimit.
var errUnreadableBody = errors.New("body unreadable or over 64 KiB")

// errorResponse is an answer that tells of an error. Handlers return it as their error, and
// answerError sends it.
type errorResponse struct {
	status int
	reason string // told to the client
}

// Error gives status and reason.
func (e *errorResponse) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

// unavailable asks the client to come again.
func unavailable(reason string) error {
	return &errorResponse{status: http.StatusServiceUnavailable, reason: reason}
}

func badRequest(reason string) error {
	return &errorResponse{status: http.StatusBadRequest, reason: reason}
}

func notFound(reason string) error {
	return &errorResponse{status: http.StatusNotFound, reason: reason}
}

type errorBody struct {
	Error string `json:"error"`
}

// writeError answers a request whose handler returned an error, whether one of this
// package, of echo (no such path or method) or of writing the answer.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var own *errorResponse
	if !errors.As(err, &own) {
		status := http.StatusInternalServerError
		var routing *echo.HTTPError
		if errors.As(err, &routing) {
			status = routing.Code
		}
		_ = c.JSON(status, errorBody{http.StatusText(status)})
		return
	}
	if own.status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterSeconds))
	}
	_ = c.JSON(own.status, errorBody{own.reason})
}

// readBody reads a request's body, up to the bound. Beside an error it gives what it read.
func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, tuning.BodyLimit+1))
	if err != nil {
		return body, fmt.Errorf("%w: %w", errUnreadableBody, err)
	}
	if len(body) > tuning.BodyLimit {
		return body, errUnreadableBody
	}
	return body, nil
}
