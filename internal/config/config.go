// Package config reads and checks the two settings files of a controller: the platform's
// (JSON) and the operators' (YAML). From them it derives the scheduler's settings and the rates
// of requests that this controller may use.
package config

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"brassglade/internal/exactjson"
	"brassglade/internal/tuning"
)

// Settings is the platform's settings file. Error messages about a field give the name in its
// tag fault, or the field's Go name if it has no such tag. The nested structs are anonymous
// because error messages also give the names of struct types.
type Settings struct {
	Member   string   `json:"member" validate:"required"`                 // this controller's name
	Zone     string   `json:"domain" fault:"Domain"`                      // "": unknown
	ServeOn  string   `json:"serve_on" validate:"required,hostname_port"` // address that users and workers connect to
	Back     string   `json:"back" validate:"required,hostname_port"`     // address that the other controllers connect to
	Members  []Member `json:"members" validate:"dive"`                    // the other controllers
	External struct {
		Cloud string `json:"cloud" validate:"required,hostname_port"`
		State string `json:"state" validate:"required,hostname_port"`
	} `json:"external"` // addresses of the services that the controllers use
	Params struct {
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams" validate:"required,dive"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			HeartbeatInterval float64 `json:"report_s" validate:"gt=0,lte=1000000" fault:"ReportS"`
			Lease             float64 `json:"lease_s" validate:"gt=0,lte=1000000" fault:"LeaseS"`         // how long tasks keep running while heartbeats get no response
			GangWait          float64 `json:"gang_wait_s" validate:"gte=0,lte=1000000" fault:"GangWaitS"` // how long a gang's first tasks wait for the others
			GangPeerWait      float64 `json:"gang_peer_s" validate:"gte=0,lte=1000000" fault:"GangPeerS"` // time until a gang's tasks notice that one is missing
			CancelWithin      float64 `json:"cancel_s" validate:"gt=0,lte=1000000" fault:"CancelS"`       // time within which a cancelled task must have ended
		} `json:"workers"` // times in seconds
		State struct {
			RequestsPerSecond float64 `json:"rps" validate:"gt=0" fault:"Rps"`
			ChangesPerSecond  float64 `json:"write_rps" validate:"gt=0" fault:"WriteRps"`
			ValueKB           float64 `json:"value_kb" validate:"gte=1" fault:"ValueKb"`
			TransactionLimit  int     `json:"txn_ops" validate:"gte=4" fault:"TxnOps"` // operations in one transaction
			Next              *struct {
				RequestsPerSecond float64 `json:"rps" validate:"omitempty,gt=0" fault:"Rps"`
				ChangesPerSecond  float64 `json:"write_rps" validate:"omitempty,gt=0" fault:"WriteRps"`
				ValueKB           float64 `json:"value_kb" validate:"omitempty,gte=1" fault:"ValueKb"`
				TransactionLimit  int     `json:"txn_ops" validate:"omitempty,gte=4" fault:"TxnOps"`
			} `json:"next"` // limits that take effect at some time, without notice; 0: unchanged
		} `json:"state"` // limits of the state service, shared by all controllers
		Cloud struct {
			RequestsPerSecond float64 `json:"rps" validate:"gt=0" fault:"Rps"`
			ListLag           float64 `json:"list_lag_s" validate:"gte=0,lte=1000000" fault:"ListLagS"` // seconds by which the list of machines may lag behind
		} `json:"cloud"` // limits of the cloud, shared by all controllers
		MachineLimits struct {
			CPU            float64 `json:"cpu" validate:"gte=0"` // processors
			MemoryMB       float64 `json:"ram_mb" validate:"gte=0"`
			MaxConnections int     `json:"max_connections" validate:"gte=0" fault:"Conns"`
		} `json:"machine_limits"` // limits of the machine that this controller runs on; 0: unknown
		SkewMS float64 `json:"skew_ms" validate:"gte=0" fault:"SkewMs"` // largest error of wall clocks, in milliseconds
	} `json:"params"`
}

// Member is one of the other controllers.
type Member struct {
	Name    string `json:"member" validate:"required" fault:"Member"`
	Zone    string `json:"domain" fault:"Domain"`
	Address string `json:"address" validate:"required,hostname_port"`
}

// Team is a team's quota: the processors and GPUs guaranteed to it, and the most that it may
// use.
type Team struct {
	Name         string  `json:"name" validate:"required"`
	CPUGuarantee float64 `json:"cpus" validate:"gte=0" fault:"Cpus"`
	CPULimit     float64 `json:"cpus_max" validate:"gte=0" fault:"CpusMax"`
	GPUGuarantee float64 `json:"gpus" validate:"gte=0" fault:"Gpus"`
	GPULimit     float64 `json:"gpus_max" validate:"gte=0" fault:"GpusMax"`
}

// Objective is a service level objective for a class of jobs.
type Objective struct {
	Kind          string  `json:"kind"` // one of the constants below; other kinds are ignored
	Class         string  `json:"class"`
	WithinSeconds float64 `json:"within_s" fault:"WithinS"`
	Share         float64 `json:"share"`               // share of the jobs that should meet it
	Multiple      float64 `json:"times" fault:"Times"` // multiple of a job's deadline, for objectiveDeadline
}

// Kinds of objectives.
const (
	objectiveStart     = "wait"      // tasks start within WithinSeconds
	objectiveFinish    = "finished"  // jobs finish within WithinSeconds
	objectiveGuarantee = "guarantee" // tasks within their team's guarantee start within WithinSeconds
	objectiveDeadline  = "deadline"  // jobs finish within Multiple times their deadline
)

// Operator is the operators' settings file. Unknown keys in it are rejected.
type Operator struct {
	Learn   *bool `yaml:"learn"`   // whether placement learns from its results; nil: true
	Metrics bool  `yaml:"metrics"` // serve metrics for Prometheus at GET /metrics
	// Spare is the number of machines kept ready for a class whose tasks should start in less
	// time than a machine takes to boot; nil: tuning.SpareMachines.
	Spare *int `yaml:"spare" validate:"omitempty,gte=0,lte=50"`
}

// Load reads and checks the platform's settings file. See Parse for its errors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes and checks the platform's settings. Its error is a ValidationError if fields
// break the rules in their tags.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := exactjson.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", describeDecodeError(text, err))
	}
	if err := validate(s); err != nil {
		return nil, err
	}
	if fence := s.fenceAge(); fence < tuning.MinFenceAge {
		w := s.Params.Workers
		return nil, fmt.Errorf("params.workers.cancel_s: %g s leaves %.1f s besides lease_s (%g s) and margins; at least %.1f s are needed",
			w.CancelWithin, fence.Seconds(), w.Lease, tuning.MinFenceAge.Seconds())
	}
	return s, nil
}

// LoadOperator reads and checks the operators' settings file.
func LoadOperator(path string) (*Operator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	o := &Operator{}
	if err := yaml.UnmarshalWithOptions(text, o, yaml.DisallowUnknownField()); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := validate(o); err != nil {
		return nil, err
	}
	return o, nil
}

// fenceAge returns the longest time for which a controller may act on one confirmation. It is
// short enough that a cancelled task has ended within cancel_s even if its controller was cut
// off right after the confirmation.
func (s *Settings) fenceAge() time.Duration {
	w := s.Params.Workers
	left := seconds(w.CancelWithin - w.Lease*leaseDriftFactor)
	return min(tuning.FenceAge, left-tuning.DriftMargin-tuning.FenceMargin)
}

// leaseDriftFactor is the factor by which a worker's lease may last longer on a slow clock.
const leaseDriftFactor = 1.001

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
