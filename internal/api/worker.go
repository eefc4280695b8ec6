package api

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"brassglade/internal/domain"
	"brassglade/internal/exactjson"
	"brassglade/internal/scheduler"
)

// errMalformedHeartbeat means that a heartbeat can't be parsed; none of its content is used.
var errMalformedHeartbeat = errors.New("malformed heartbeat")

// heartbeat is the body of POST /checkin, and of a worker's response to commands that were sent
// to it directly.
type heartbeat struct {
	Machine          string       `json:"Bracket"`
	Address          string       `json:"Address"`
	MachineType      string       `json:"Build"`
	Zone             string       `json:"Yard"`
	Spot             bool         `json:"Loaners"`
	AgentEpoch       uint64       `json:"Shift"`
	Sequence         uint64       `json:"Tally"`
	FencingToken     uint64       `json:"Baton"`
	PreemptionNotice *float64     `json:"RecallS"` // seconds until the machine is preempted; nil: no notice
	Tasks            []taskReport `json:"Pieces"`
}

type taskReport struct {
	Task    string `json:"Piece"` // JOB/INDEX
	Attempt uint64 `json:"Try"`
	State   string `json:"Status"`
	Cause   string `json:"Cause"`
	Saved   bool   `json:"Saved"`
}

type command struct {
	Kind         string   `json:"Verb"`
	Task         string   `json:"Piece"` // JOB/INDEX
	Attempt      uint64   `json:"Try"`
	GraceSeconds *float64 `json:"LeewayS,omitempty"` // seconds; for stop commands only
}

type heartbeatResponse struct {
	FencingToken uint64    `json:"Baton"`
	Commands     []command `json:"Orders"`
}

// ownerResponse names the controller that owns the worker's machine; "" if unknown.
type ownerResponse struct {
	Owner string `json:"Foreman,omitempty"`
}

// Commands is the body of POST /commands, which a controller sends to a worker to give it
// commands without waiting for its next heartbeat.
type Commands struct {
	FencingToken uint64    `json:"Baton"`
	AgentEpoch   uint64    `json:"Shift"`
	Commands     []command `json:"Orders"`
}

// NewCommands returns the body of a request that sends commands directly to a worker.
func NewCommands(e scheduler.SendCommands) Commands {
	return Commands{FencingToken: e.FencingToken, AgentEpoch: e.AgentEpoch, Commands: newCommands(e.Commands)}
}

func newCommands(commands []domain.Command) []command {
	out := make([]command, len(commands))
	for i, k := range commands {
		out[i] = command{Kind: string(k.Kind), Task: formatTaskID(k.Task), Attempt: k.Attempt}
		if k.Kind == domain.StopTask {
			grace := k.GraceSeconds
			out[i].GraceSeconds = &grace
		}
	}
	return out
}

var reportedStates = map[string]string{
	"fetching":  domain.ReportedFetching,
	"gathering": domain.ReportedWaiting,
	"running":   domain.ReportedRunning,
	"saving":    domain.ReportedSaving,
	"ended":     domain.ReportedEnded,
}

// reportedCause converts a cause of the protocol to one of package domain. Only "no_such" has
// another name there.
func reportedCause(cause string) string {
	if cause == "no_such" {
		return domain.CauseUnknown
	}
	return cause
}

// ParseHeartbeat parses the body of a worker's heartbeat. Its errors match errMalformedHeartbeat.
func ParseHeartbeat(body []byte) (domain.Heartbeat, error) {
	var h heartbeat
	if err := exactjson.Unmarshal(body, &h); err != nil {
		return domain.Heartbeat{}, fmt.Errorf("%w: %w", errMalformedHeartbeat, err)
	}
	if h.Machine == "" || h.AgentEpoch == 0 {
		return domain.Heartbeat{}, fmt.Errorf("%w: machine or agent epoch is missing", errMalformedHeartbeat)
	}
	parsed := domain.Heartbeat{
		Machine: h.Machine, Addr: h.Address, Type: h.MachineType, Zone: h.Zone, Spot: h.Spot,
		AgentEpoch: h.AgentEpoch, Sequence: h.Sequence, FencingToken: h.FencingToken, PreemptionNotice: -1,
	}
	if h.PreemptionNotice != nil {
		parsed.PreemptionNotice = max(*h.PreemptionNotice, 0)
	}
	for _, t := range h.Tasks {
		report, err := t.parse()
		if err != nil {
			return domain.Heartbeat{}, fmt.Errorf("%w: %w", errMalformedHeartbeat, err)
		}
		parsed.Tasks = append(parsed.Tasks, report)
	}
	return parsed, nil
}

func (t taskReport) parse() (domain.TaskReport, error) {
	id, err := parseTaskID(t.Task)
	if err != nil {
		return domain.TaskReport{}, err
	}
	state, known := reportedStates[t.State]
	if !known {
		return domain.TaskReport{}, fmt.Errorf("unknown state %q of task %s", t.State, t.Task)
	}
	return domain.TaskReport{Task: id, Attempt: t.Attempt, State: state, Cause: reportedCause(t.Cause), Saved: t.Saved}, nil
}

// formatTaskID returns a task ID in the form JOB/INDEX.
func formatTaskID(id domain.TaskID) string { return id.Job + "/" + strconv.Itoa(id.Index) }

// parseTaskID parses a task ID of the form JOB/INDEX.
func parseTaskID(s string) (domain.TaskID, error) {
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return domain.TaskID{}, fmt.Errorf("task %q has no index", s)
	}
	index, err := strconv.Atoi(s[slash+1:])
	if err != nil {
		return domain.TaskID{}, fmt.Errorf("invalid index of task %q: %w", s, err)
	}
	return domain.TaskID{Job: s[:slash], Index: index}, nil
}

// handleHeartbeat passes a worker's heartbeat to the event loop. The response contains commands,
// or the machine's owner if that is another controller (421), or has status 503 while this
// controller may not give commands.
func (h *handler) handleHeartbeat(c echo.Context) error {
	body, err := readBody(c)
	var beat domain.Heartbeat
	if err == nil {
		beat, err = ParseHeartbeat(body)
	}
	if err != nil {
		slog.Info("malformed report", "from", c.Request().RemoteAddr, "bytes", len(body),
			"error", err.Error(), "count", h.malformedHeartbeats.Add(1))
		return badRequest("malformed report")
	}
	effect, ok := h.backend.Request(true, func(requestID uint64) scheduler.Event {
		return scheduler.HeartbeatReceived{RequestID: requestID, Heartbeat: beat}
	})
	reply, isHeartbeatReply := effect.(scheduler.HeartbeatReply)
	if !ok || !isHeartbeatReply {
		return unavailable("busy")
	}
	switch reply.Status {
	case http.StatusOK:
		return c.JSON(reply.Status, heartbeatResponse{FencingToken: reply.FencingToken, Commands: newCommands(reply.Commands)})
	case http.StatusMisdirectedRequest:
		return c.JSON(reply.Status, ownerResponse{Owner: reply.Owner})
	}
	return unavailable("controller may not give commands now")
}
