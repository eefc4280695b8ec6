// Package config reads the platform's settings file (JSON) and the operators'
// own (YAML).
package config

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	json "github.com/goccy/go-json"
	"github.com/goccy/go-yaml"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// Member is another controller.
type Member struct {
	Member  string `json:"member" validate:"required"`
	Domain  string `json:"domain"`
	Address string `json:"address" validate:"required,hostname_port"`
}

// Team of the settings.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	Cpus    float64 `json:"cpus" validate:"gte=0"`
	CpusMax float64 `json:"cpus_max" validate:"gte=0"`
	Gpus    float64 `json:"gpus" validate:"gte=0"`
	GpusMax float64 `json:"gpus_max" validate:"gte=0"`
}

// Objective of the settings.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// Settings is the platform's file.
type Settings struct {
	Member   string   `json:"member" validate:"required"`
	Domain   string   `json:"domain"`
	ServeOn  string   `json:"serve_on" validate:"required,hostname_port"`
	Back     string   `json:"back" validate:"required,hostname_port"`
	Members  []Member `json:"members" validate:"dive"`
	External struct {
		Cloud string `json:"cloud" validate:"required,hostname_port"`
		State string `json:"state" validate:"required,hostname_port"`
	} `json:"external"`
	Params struct {
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams" validate:"required,dive"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS   float64 `json:"report_s" validate:"gt=0,lte=1000000"`
			LeaseS    float64 `json:"lease_s" validate:"gt=0,lte=1000000"`
			GangWaitS float64 `json:"gang_wait_s" validate:"gte=0,lte=1000000"`
			GangPeerS float64 `json:"gang_peer_s" validate:"gte=0,lte=1000000"`
			CancelS   float64 `json:"cancel_s" validate:"gt=0,lte=1000000"`
		} `json:"workers"`
		State struct {
			Rps      float64 `json:"rps" validate:"gt=0"`
			WriteRps float64 `json:"write_rps" validate:"gt=0"`
			ValueKb  float64 `json:"value_kb" validate:"gte=1"`
			TxnOps   int     `json:"txn_ops" validate:"gte=4"`
			Next     *struct {
				Rps      float64 `json:"rps" validate:"omitempty,gt=0"`
				WriteRps float64 `json:"write_rps" validate:"omitempty,gt=0"`
				ValueKb  float64 `json:"value_kb" validate:"omitempty,gte=1"`
				TxnOps   int     `json:"txn_ops" validate:"omitempty,gte=4"`
			} `json:"next"` // from some moment on, without notice
		} `json:"state"`
		Cloud struct {
			Rps      float64 `json:"rps" validate:"gt=0"`
			ListLagS float64 `json:"list_lag_s" validate:"gte=0,lte=1000000"`
		} `json:"cloud"`
		MachineLimits struct {
			CPU      float64 `json:"cpu" validate:"gte=0"`
			MemoryMB float64 `json:"ram_mb" validate:"gte=0"`
			Conns    int     `json:"max_connections" validate:"gte=0"`
		} `json:"machine_limits"`
		SkewMs float64 `json:"skew_ms" validate:"gte=0"`
	} `json:"params"`
}

// Operator is the operators' own file; its unknown keys are refused.
type Operator struct {
	Learn   *bool `yaml:"learn"`
	Metrics bool  `yaml:"metrics"` // serve counts for Prometheus at GET /metrics
	Spare   *int  `yaml:"spare" validate:"omitempty,gte=0,lte=50"`
}

// Load reads and checks a settings file; the error names every fault by field.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// Parse reads and checks settings.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := faults(s); err != nil {
		return nil, err
	}
	if f := s.fence(); f < tuning.MinFenceAge {
		w := s.Params.Workers
		return nil, fmt.Errorf("params.workers.cancel_s: %g s leaves %.1f s besides lease_s (%g s) and margins; at least %.1f s are needed",
			w.CancelS, f.Seconds(), w.LeaseS, tuning.MinFenceAge.Seconds())
	}
	return s, nil
}

func faults(s any) error {
	err := validator.New().Struct(s)
	var fs validator.ValidationErrors
	if !errors.As(err, &fs) {
		return err
	}
	var l []string
	for _, f := range fs {
		l = append(l, fmt.Sprintf("%s: %q breaks rule %s %s", strings.TrimPrefix(f.Namespace(), "Settings."), fmt.Sprint(f.Value()), f.Tag(), f.Param()))
	}
	return errors.New(strings.Join(l, "\n"))
}

// LoadOperator reads the operators' file.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := yaml.UnmarshalWithOptions(b, o, yaml.DisallowUnknownField()); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, faults(o)
}

// fence is the longest time that a node may act on one confirmation, so that
// a cancelled task is gone in time even if its node was cut off just then.
func (s *Settings) fence() time.Duration {
	w := s.Params.Workers
	return min(tuning.FenceAge, secs(w.CancelS-w.LeaseS*1.001)-tuning.DriftMargin-tuning.FenceMargin)
}

// Least are the limits of the state service that hold now and will hold after
// they change: the smaller of both. Whatever is written within them may be
// written again later.
func (s *Settings) Least() (rps, writeRps, valueKb float64, txnOps int) {
	st := s.Params.State
	rps, writeRps, valueKb, txnOps = st.Rps, st.WriteRps, st.ValueKb, st.TxnOps
	n := st.Next
	if n == nil {
		return
	}
	less := func(now, next float64) float64 {
		if next > 0 {
			return min(now, next)
		}
		return now
	}
	if n.TxnOps > 0 {
		txnOps = min(txnOps, n.TxnOps)
	}
	return less(rps, n.Rps), less(writeRps, n.WriteRps), less(valueKb, n.ValueKb), txnOps
}

// Share is the part of the published rates that one node plans to use.
func (s *Settings) Share() float64 { return tuning.BudgetShare / float64(len(s.Members)+1) }

// WriteShare is the same for changes. Nodes don't need theirs at the same time:
// among many each may use more than an equal part, and a refusal by the state
// service, should they ever coincide, costs a short pause.
func (s *Settings) WriteShare() float64 {
	n := float64(len(s.Members) + 1)
	return s.Share() * min(tuning.WriteOver, max(1, n/tuning.WriteOverNodes))
}

func secs(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Core gives the core's settings.
func (s *Settings) Core(o *Operator, seed uint64) scheduler.Settings {
	p := s.Params
	rps, writeRps, valueKb, txnOps := s.Least()
	c := scheduler.Settings{
		Node: s.Member, Zone: s.Domain, Nodes: []string{s.Member}, Teams: map[string]domain.Quota{}, Zones: p.Zones,
		HeartbeatInterval: secs(p.Workers.ReportS), WorkerLease: secs(p.Workers.LeaseS), CancelWithin: secs(p.Workers.CancelS),
		GangPeerWait: secs(p.Workers.GangPeerS), ValueLimit: int(valueKb * 1024), ValueLimitNow: int(p.State.ValueKb * 1024), TransactionLimit: txnOps,
		ListLag: secs(p.Cloud.ListLagS), Seed: seed, FenceAge: s.fence(), StartWithin: map[string]float64{}, FinishWithin: map[string][]float64{}, SpareMachines: tuning.Spare, Learn: true,
		FairWriteRate: writeRps * s.Share(), ReadRate: rps * s.Share(), WriteRate: writeRps * s.WriteShare(),
	}
	c.ZoneOf = map[string]string{s.Member: s.Domain}
	for _, m := range s.Members {
		c.Nodes = append(c.Nodes, m.Member)
		c.ZoneOf[m.Member] = m.Domain
	}
	slices.Sort(c.Nodes)
	for _, t := range p.Teams {
		c.Teams[t.Name] = domain.Quota{
			Guarantee: domain.Resources{CPU: domain.Thousandths(t.Cpus), GPU: domain.Thousandths(t.Gpus)},
			Limit:     domain.Resources{CPU: domain.Thousandths(t.CpusMax), GPU: domain.Thousandths(t.GpusMax)},
		}
	}
	for _, x := range p.Objectives {
		switch x.Kind {
		case "wait":
			c.StartWithin[x.Class] = x.WithinS
		case "finished":
			c.FinishWithin[x.Class] = append(c.FinishWithin[x.Class], x.WithinS)
		case "guarantee":
			c.GuaranteeWithin = x.WithinS
		case "deadline":
			if x.Times > 0 && !slices.Contains(c.DeadlineMultiples, x.Times) {
				c.DeadlineMultiples = append(c.DeadlineMultiples, x.Times)
			}
		}
	}
	slices.Sort(c.DeadlineMultiples)
	for _, g := range c.FinishWithin {
		slices.Sort(g)
	}
	if o != nil {
		if o.Learn != nil {
			c.Learn = *o.Learn
		}
		if o.Spare != nil {
			c.SpareMachines = *o.Spare
		}
	}
	return c
}
