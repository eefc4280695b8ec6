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

// errUnreadableBody means that a request's body can't be read or exceeds tuning.BodyLimit.
var errUnreadableBody = errors.New("request body is unreadable or longer than 64 KiB")

// errorResponse is an HTTP response that reports an error. Handlers return it as their error,
// and writeError sends it.
type errorResponse struct {
	status int
	reason string // sent to the client
}

// Error returns the status and the reason.
func (e *errorResponse) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

// unavailable returns a response with status 503, which asks the client to retry later.
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

// writeError sends the response to a request whose handler returned an error: one of this
// package, one of echo (unknown path or method) or one of writing the response.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var response *errorResponse
	if !errors.As(err, &response) {
		status := http.StatusInternalServerError
		var echoErr *echo.HTTPError
		if errors.As(err, &echoErr) {
			status = echoErr.Code
		}
		_ = c.JSON(status, errorBody{http.StatusText(status)})
		return
	}
	if response.status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterSeconds))
	}
	_ = c.JSON(response.status, errorBody{response.reason})
}

// readBody reads a request's body of at most tuning.BodyLimit bytes. Together with an error,
// which matches errUnreadableBody, it returns the bytes read so far.
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
