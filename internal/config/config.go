// Package config reads and checks the two files that a controller starts with: the
// platform's settings (JSON) and the operators' own (YAML). It turns them into the
// scheduler's settings and into the rates that this controller may use.
package config

import (
	"fmt"
	"os"
	"time"

	json "github.com/goccy/go-json"
	"github.com/goccy/go-yaml"

	"brassglade/internal/tuning"
)

// Settings is the platform's file. Where a Go name isn't the one that messages about
// faults use, a tag named fault has the latter; the nested structs have no names, since
// these messages name the structs that have one.
type Settings struct {
	Member   string   `json:"member" validate:"required"`                 // this controller's name
	Zone     string   `json:"domain" fault:"Domain"`                      // "": not known
	ServeOn  string   `json:"serve_on" validate:"required,hostname_port"` // for users and workers
	Back     string   `json:"back" validate:"required,hostname_port"`     // for the other controllers
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
			Lease             float64 `json:"lease_s" validate:"gt=0,lte=1000000" fault:"LeaseS"`         // tasks run on for so long without an answer
			GangWait          float64 `json:"gang_wait_s" validate:"gte=0,lte=1000000" fault:"GangWaitS"` // of a gang's first tasks for the others
			GangPeerWait      float64 `json:"gang_peer_s" validate:"gte=0,lte=1000000" fault:"GangPeerS"` // until a gang's tasks notice that one is missing
			CancelWithin      float64 `json:"cancel_s" validate:"gt=0,lte=1000000" fault:"CancelS"`       // by then a cancelled task must have ended
		} `json:"workers"` // in seconds
		State struct {
			RequestsPerSecond float64 `json:"rps" validate:"gt=0" fault:"Rps"`
			ChangesPerSecond  float64 `json:"write_rps" validate:"gt=0" fault:"WriteRps"`
			ValueKB           float64 `json:"value_kb" validate:"gte=1" fault:"ValueKb"`
			TransactionLimit  int     `json:"txn_ops" validate:"gte=4" fault:"TxnOps"` // operations
			Next              *struct {
				RequestsPerSecond float64 `json:"rps" validate:"omitempty,gt=0" fault:"Rps"`
				ChangesPerSecond  float64 `json:"write_rps" validate:"omitempty,gt=0" fault:"WriteRps"`
				ValueKB           float64 `json:"value_kb" validate:"omitempty,gte=1" fault:"ValueKb"`
				TransactionLimit  int     `json:"txn_ops" validate:"omitempty,gte=4" fault:"TxnOps"`
			} `json:"next"` // from some moment on, without notice; 0: stays as it is
		} `json:"state"` // limits of the state service, for all controllers together
		Cloud struct {
			RequestsPerSecond float64 `json:"rps" validate:"gt=0" fault:"Rps"`
			ListLag           float64 `json:"list_lag_s" validate:"gte=0,lte=1000000" fault:"ListLagS"` // seconds by which lists may be late
		} `json:"cloud"` // limits of the cloud, for all controllers together
		MachineLimits struct {
			CPU            float64 `json:"cpu" validate:"gte=0"` // processors
			MemoryMB       float64 `json:"ram_mb" validate:"gte=0"`
			MaxConnections int     `json:"max_connections" validate:"gte=0" fault:"Conns"`
		} `json:"machine_limits"` // of the machine that this controller runs on; 0: not known
		SkewMS float64 `json:"skew_ms" validate:"gte=0" fault:"SkewMs"` // most by which wall clocks are off
	} `json:"params"`
}

// Member is another controller.
type Member struct {
	Name    string `json:"member" validate:"required" fault:"Member"`
	Zone    string `json:"domain" fault:"Domain"`
	Address string `json:"address" validate:"required,hostname_port"`
}

// Team is a team's quota: what is guaranteed to it and the most that it may use.
type Team struct {
	Name         string  `json:"name" validate:"required"`
	CPUGuarantee float64 `json:"cpus" validate:"gte=0" fault:"Cpus"`
	CPULimit     float64 `json:"cpus_max" validate:"gte=0" fault:"CpusMax"`
	GPUGuarantee float64 `json:"gpus" validate:"gte=0" fault:"Gpus"`
	GPULimit     float64 `json:"gpus_max" validate:"gte=0" fault:"GpusMax"`
}

// Objective is a service level objective for a class of jobs.
type Objective struct {
	Kind          string  `json:"kind"` // one of the kinds below; others are ignored
	Class         string  `json:"class"`
	WithinSeconds float64 `json:"within_s" fault:"WithinS"`
	Share         float64 `json:"share"`               // of the jobs that are to meet it
	Multiple      float64 `json:"times" fault:"Times"` // of the deadline
}

// The kinds of objectives.
const (
	objectiveStart     = "wait"      // tasks start within a time
	objectiveFinish    = "finished"  // jobs finish within a time
	objectiveGuarantee = "guarantee" // work within a guarantee starts within a time
	objectiveDeadline  = "deadline"  // jobs finish within a multiple of their deadline
)

// Operator is the operators' own file; its unknown keys are refused.
type Operator struct {
	Learn   *bool `yaml:"learn"`   // placement learns from its results; nil: it does
	Metrics bool  `yaml:"metrics"` // serve counts for Prometheus at GET /metrics
	// Spare is how many machines are kept ready for a class whose tasks should start
	// sooner than a machine boots; nil: tuning.Spare.
	Spare *int `yaml:"spare" validate:"omitempty,gte=0,lte=50"`
}

// Load reads and checks a settings file; the error names every fault by its field.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse reads and checks settings.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", withReportedName(err))
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

// LoadOperator reads and checks the operators' file.
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

// fenceAge is the longest time that a controller may act on one confirmation, so that a
// cancelled task has ended in time even if its controller was cut off just then.
func (s *Settings) fenceAge() time.Duration {
	w := s.Params.Workers
	left := seconds(w.CancelWithin - w.Lease*leaseDriftFactor)
	return min(tuning.FenceAge, left-tuning.DriftMargin-tuning.FenceMargin)
}

// leaseDriftFactor is how much longer a worker's lease may last by a clock that runs slow.
const leaseDriftFactor = 1.001

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
