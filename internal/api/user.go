package api

import (
	"math"
	"net/http"
	"regexp"

	"github.com/go-playground/validator/v10"
	json "github.com/goccy/go-json"
	"github.com/labstack/echo/v4"

	"brassglade/internal/domain"
	"brassglade/internal/exactjson"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// submission is the body of POST /v1/jobs. Pointers distinguish a missing field from a zero
// value; machine types, zone, deadline and dependencies may be null or missing. Class and image
// have a maximum length because they are written again with each change of a job's header.
type submission struct {
	ID                 *string   `json:"NameId" validate:"required"`
	Class              *string   `json:"Docket" validate:"required,min=1,max=200"`
	Team               *string   `json:"Crew" validate:"required,min=1"`
	Shape              *string   `json:"Shape" validate:"required,oneof=batch group daemon"`
	Priority           *string   `json:"Urgency" validate:"required,oneof=production urgent standard idle"`
	TaskCount          *int64    `json:"Pieces" validate:"required,min=1,max=100000"`
	CPUs               *float64  `json:"Cores" validate:"required,amount"`
	GPUs               *float64  `json:"Cards" validate:"required,amount"`
	MemoryGB           *float64  `json:"MemGb" validate:"required,amount"`
	Image              *string   `json:"Kit" validate:"required,max=200"`
	ImageGB            *float64  `json:"PullGb" validate:"required,amount"`
	MachineTypes       *[]string `json:"Builds"`
	Zone               *string   `json:"Yard"`
	OneZone            *bool     `json:"SamePlace" validate:"required"`
	Spread             *bool     `json:"Apart" validate:"required"`
	Spot               *bool     `json:"Loaners" validate:"required"`
	EstimatedRuntime   *float64  `json:"ExpectS" validate:"required,amount"`
	CheckpointInterval *float64  `json:"SnapshotS" validate:"required,amount"`
	CheckpointCost     *float64  `json:"StowS" validate:"required,amount"`
	Deadline           *float64  `json:"DueS" validate:"omitempty,amount"`
	Dependencies       *[]string `json:"Awaits" validate:"omitempty,dive,jobid"`
}

type jobResponse struct {
	ID      string `json:"NameId"`
	State   string `json:"Status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// maxAmount is the largest amount accepted, so that sums in thousandths can't overflow.
const maxAmount = 1e9

// noMachineType is a name that no machine type has. It replaces an empty list of machine
// types, which allows no type, because a job spec without a list allows all types.
const noMachineType = "-"

var (
	jobIDPattern        = regexp.MustCompile(`^job-[0-9]{6,20}$`)
	submissionValidator = newSubmissionValidator()
	shapesByName        = map[string]domain.Shape{"batch": domain.Array, "group": domain.Gang, "daemon": domain.Service}
	prioritiesByName    = map[string]domain.Priority{"production": 3, "urgent": 2, "standard": 1, "idle": 0}
)

// newSubmissionValidator returns a validator that knows the rules named in the tags of
// submission.
func newSubmissionValidator() *validator.Validate {
	v := validator.New()
	for tag, check := range map[string]validator.Func{"amount": isAmount, "jobid": isJobID} {
		if err := v.RegisterValidation(tag, check); err != nil {
			panic("cannot register submission rule " + tag + ": " + err.Error())
		}
	}
	return v
}

func isAmount(field validator.FieldLevel) bool {
	x := field.Field().Float()
	return x >= 0 && x <= maxAmount && !math.IsNaN(x)
}

func isJobID(field validator.FieldLevel) bool {
	return jobIDPattern.MatchString(field.Field().String())
}

// ParseSubmission parses the body of a submission. If the body is malformed, spec is nil, and
// id is the job's ID if it can be read, else "". The ID is needed because a repeated submission
// of an accepted job is answered with the job's state even if the repetition is malformed.
func ParseSubmission(body []byte) (id string, spec *domain.JobSpec) {
	var fields map[string]json.RawMessage
	if exactjson.Unmarshal(body, &fields) != nil || fields == nil {
		return "", nil
	}
	if exactjson.Unmarshal(fields["NameId"], &id) != nil || !jobIDPattern.MatchString(id) {
		return "", nil
	}
	var s submission
	if exactjson.Unmarshal(body, &s) != nil || submissionValidator.Struct(&s) != nil {
		return id, nil
	}
	return id, s.jobSpec(id)
}

// jobSpec converts a valid submission to the scheduler's job spec.
func (s *submission) jobSpec(id string) *domain.JobSpec {
	spec := &domain.JobSpec{
		ID:        id,
		Class:     *s.Class,
		Team:      *s.Team,
		Shape:     shapesByName[*s.Shape],
		Priority:  prioritiesByName[*s.Priority],
		TaskCount: int(*s.TaskCount),
		Request: domain.Resources{
			CPU:    roundedThousandths(*s.CPUs),
			GPU:    roundedThousandths(*s.GPUs),
			Memory: roundedThousandths(*s.MemoryGB),
		},
		OneZone:            *s.OneZone,
		Spread:             *s.Spread,
		Spot:               *s.Spot,
		Image:              *s.Image,
		ImageGB:            *s.ImageGB,
		EstimatedRuntime:   *s.EstimatedRuntime,
		CheckpointInterval: *s.CheckpointInterval,
		CheckpointCost:     *s.CheckpointCost,
	}
	if s.MachineTypes != nil {
		spec.MachineTypes = *s.MachineTypes
		if len(spec.MachineTypes) == 0 {
			spec.MachineTypes = []string{noMachineType}
		}
	}
	if s.Zone != nil {
		spec.Zone = *s.Zone
	}
	if s.Deadline != nil {
		spec.Deadline = *s.Deadline
	}
	if s.Dependencies != nil {
		spec.Dependencies = *s.Dependencies
	}
	return spec
}

// roundedThousandths converts an amount of a submitted job to thousandths, rounded to the nearest
// integer. Amounts in the settings and from the cloud are converted by domain.Thousandths, which adds
// 0.5 and truncates; the results differ where that sum isn't exact in floating point.
func roundedThousandths(amount float64) int64 { return int64(math.Round(amount * 1000)) }

func (h *handler) submitJob(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return badRequest(errUnreadableBody.Error())
	}
	id, spec := ParseSubmission(body)
	return h.handleUserRequest(c, func(requestID uint64) scheduler.Event {
		return scheduler.JobSubmitted{RequestID: requestID, ID: id, Spec: spec}
	})
}

func (h *handler) queryJob(c echo.Context) error {
	id, err := jobIDFromPath(c)
	if err != nil {
		return err
	}
	return h.handleUserRequest(c, func(requestID uint64) scheduler.Event {
		return scheduler.JobQueried{RequestID: requestID, ID: id}
	})
}

func (h *handler) cancelJob(c echo.Context) error {
	id, err := jobIDFromPath(c)
	if err != nil {
		return err
	}
	return h.handleUserRequest(c, func(requestID uint64) scheduler.Event {
		return scheduler.JobCancelled{RequestID: requestID, ID: id}
	})
}

// jobIDFromPath returns the job ID in a request's path. An ID that does not match jobIDPattern
// belongs to no job and gives an error with status 404.
func jobIDFromPath(c echo.Context) (string, error) {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return "", notFound("no such job")
	}
	return id, nil
}

// handleUserRequest passes a user's request to the event loop and sends the response.
func (h *handler) handleUserRequest(c echo.Context, newEvent func(requestID uint64) scheduler.Event) error {
	// Workers keep their connections open, and hundreds of them connect to one controller
	// when the others fail. To leave them enough sockets, users' connections are closed after
	// the response when many sockets are taken, and users are refused when almost all are.
	if h.connectionsExceed(tuning.CloseConnectionsPercent) {
		c.Response().Header().Set("Connection", "close")
	}
	if h.connectionsExceed(tuning.RefuseUsersPercent) {
		return unavailable("too many connections")
	}
	effect, ok := h.backend.Request(false, newEvent)
	reply, isUserReply := effect.(scheduler.UserReply)
	if !ok || !isUserReply {
		return unavailable("busy")
	}
	switch reply.Status {
	case http.StatusOK, http.StatusCreated:
		return c.JSON(reply.Status, jobResponse{ID: reply.ID, State: reply.State, Done: reply.Done, Running: reply.Running})
	}
	return &errorResponse{status: reply.Status, reason: reply.Reason}
}
