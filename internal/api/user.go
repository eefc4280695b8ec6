package api

import (
	"math"
	"regexp"

	json "github.com/goccy/go-json"

	"github.com/go-playground/validator/v10"

	"brassglade/internal/domain"
)

// submission is the body of POST /v1/jobs. Pointers tell a missing field from
// a zero; Builds, Yard, DueS and Awaits may be null or missing. Names that are
// written into every change of a job's header have a bound.
type submission struct {
	NameID    *string   `json:"NameId" validate:"required"`
	Docket    *string   `json:"Docket" validate:"required,min=1,max=200"`
	Crew      *string   `json:"Crew" validate:"required,min=1"`
	Shape     *string   `json:"Shape" validate:"required,oneof=batch group daemon"`
	Urgency   *string   `json:"Urgency" validate:"required,oneof=production urgent standard idle"`
	Pieces    *int64    `json:"Pieces" validate:"required,min=1,max=100000"`
	Cores     *float64  `json:"Cores" validate:"required,amount"`
	Cards     *float64  `json:"Cards" validate:"required,amount"`
	MemGb     *float64  `json:"MemGb" validate:"required,amount"`
	Kit       *string   `json:"Kit" validate:"required,max=200"`
	PullGb    *float64  `json:"PullGb" validate:"required,amount"`
	Builds    *[]string `json:"Builds"`
	Yard      *string   `json:"Yard"`
	SamePlace *bool     `json:"SamePlace" validate:"required"`
	Apart     *bool     `json:"Apart" validate:"required"`
	Loaners   *bool     `json:"Loaners" validate:"required"`
	ExpectS   *float64  `json:"ExpectS" validate:"required,amount"`
	SnapshotS *float64  `json:"SnapshotS" validate:"required,amount"`
	StowS     *float64  `json:"StowS" validate:"required,amount"`
	DueS      *float64  `json:"DueS" validate:"omitempty,amount"`
	Awaits    *[]string `json:"Awaits" validate:"omitempty,dive,jobid"`
}

type jobAnswer struct {
	NameID  string `json:"NameId"`
	Status  string `json:"Status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

type failure struct {
	Error string `json:"error"`
}

// amountMost bounds amounts so that sums in thousandths can't overflow.
const amountMost = 1e9

var (
	idForm = regexp.MustCompile(`^job-[0-9]{6,20}$`)
	check  = newCheck()
	shapes = map[string]domain.Shape{"batch": domain.Array, "group": domain.Gang, "daemon": domain.Service}
	prios  = map[string]domain.Priority{"production": 3, "urgent": 2, "standard": 1, "idle": 0}
)

func newCheck() *validator.Validate {
	v := validator.New()
	if err := v.RegisterValidation("amount", func(f validator.FieldLevel) bool {
		x := f.Field().Float()
		return x >= 0 && x <= amountMost && !math.IsNaN(x)
	}); err != nil {
		panic(err)
	}
	if err := v.RegisterValidation("jobid", func(f validator.FieldLevel) bool { return idForm.MatchString(f.Field().String()) }); err != nil {
		panic(err)
	}
	return v
}

// ParseSubmission reads a submission. A malformed one gives its id, if that
// much is legible, and no spec.
func ParseSubmission(b []byte) (id string, spec *domain.JobSpec) {
	var loose map[string]json.RawMessage
	if json.Unmarshal(b, &loose) != nil || loose == nil {
		return "", nil
	}
	if json.Unmarshal(loose["NameId"], &id) != nil || !idForm.MatchString(id) {
		return "", nil
	}
	var s submission
	if json.Unmarshal(b, &s) != nil || check.Struct(&s) != nil {
		return id, nil
	}
	sp := &domain.JobSpec{
		ID: id, Class: *s.Docket, Team: *s.Crew, Shape: shapes[*s.Shape], Priority: prios[*s.Urgency], TaskCount: int(*s.Pieces),
		Request: domain.Resources{CPU: milli(*s.Cores), GPU: milli(*s.Cards), Memory: milli(*s.MemGb)},
		OneZone: *s.SamePlace, Spread: *s.Apart, Spot: *s.Loaners, Image: *s.Kit, ImageGB: *s.PullGb,
		EstimatedRuntime: *s.ExpectS, CheckpointInterval: *s.SnapshotS, CheckpointCost: *s.StowS,
	}
	if s.Builds != nil {
		sp.MachineTypes = *s.Builds
		if len(sp.MachineTypes) == 0 {
			sp.MachineTypes = []string{"-"} // an empty list allows nothing
		}
	}
	if s.Yard != nil {
		sp.Zone = *s.Yard
	}
	if s.DueS != nil {
		sp.Deadline = *s.DueS
	}
	if s.Awaits != nil {
		sp.Dependencies = *s.Awaits
	}
	return id, sp
}

func milli(x float64) int64 { return int64(math.Round(x * 1000)) }
