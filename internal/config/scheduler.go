package config

import (
	"slices"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

const bytesPerKB = 1024

// SchedulerSettings returns the scheduler's settings. operator is the operators' settings file,
// nil if there is none; seed is the seed of the scheduler's random numbers.
func (s *Settings) SchedulerSettings(operator *Operator, seed uint64) scheduler.Settings {
	p := s.Params
	lowest := s.lowestLimits()
	c := scheduler.Settings{
		Controller:        s.Member,
		Zone:              s.Zone,
		Controllers:       []string{s.Member},
		Teams:             quotasByTeam(p.Teams),
		Zones:             p.Zones,
		ZoneOf:            map[string]string{s.Member: s.Zone},
		HeartbeatInterval: seconds(p.Workers.HeartbeatInterval),
		WorkerLease:       seconds(p.Workers.Lease),
		CancelWithin:      seconds(p.Workers.CancelWithin),
		GangPeerWait:      seconds(p.Workers.GangPeerWait),
		FenceAge:          s.fenceAge(),
		ValueLimit:        int(lowest.valueKB * bytesPerKB),
		CurrentValueLimit: int(p.State.ValueKB * bytesPerKB),
		TransactionLimit:  lowest.transactionLimit,
		WriteRate:         lowest.changesPerSecond * s.changeShare(),
		FairWriteRate:     lowest.changesPerSecond * s.equalShare(),
		ReadRate:          lowest.requestsPerSecond * s.equalShare(),
		InstanceListLag:   seconds(p.Cloud.ListLag),
		Seed:              seed,
		StartWithin:       map[string]float64{},
		FinishWithin:      map[string][]float64{},
		SpareMachines:     tuning.SpareMachines,
		Learn:             true,
	}
	for _, m := range s.Members {
		c.Controllers = append(c.Controllers, m.Name)
		c.ZoneOf[m.Name] = m.Zone
	}
	slices.Sort(c.Controllers)
	setObjectives(&c, p.Objectives)
	operator.applyTo(&c)
	return c
}

// quotasByTeam returns the quotas by the names of the teams.
func quotasByTeam(teams []Team) map[string]domain.Quota {
	byTeam := map[string]domain.Quota{}
	for _, t := range teams {
		byTeam[t.Name] = domain.Quota{
			Guarantee: domain.Resources{CPU: domain.Thousandths(t.CPUGuarantee), GPU: domain.Thousandths(t.GPUGuarantee)},
			Limit:     domain.Resources{CPU: domain.Thousandths(t.CPULimit), GPU: domain.Thousandths(t.GPULimit)},
		}
	}
	return byTeam
}

// setObjectives puts the objectives into the settings, with bounds and multiples sorted.
func setObjectives(c *scheduler.Settings, objectives []Objective) {
	for _, o := range objectives {
		switch o.Kind {
		case objectiveStart:
			c.StartWithin[o.Class] = o.WithinSeconds
		case objectiveFinish:
			c.FinishWithin[o.Class] = append(c.FinishWithin[o.Class], o.WithinSeconds)
		case objectiveGuarantee:
			c.GuaranteeWithin = o.WithinSeconds
		case objectiveDeadline:
			if o.Multiple > 0 && !slices.Contains(c.DeadlineMultiples, o.Multiple) {
				c.DeadlineMultiples = append(c.DeadlineMultiples, o.Multiple)
			}
		}
	}
	slices.Sort(c.DeadlineMultiples)
	for _, bounds := range c.FinishWithin {
		slices.Sort(bounds)
	}
}

// applyTo replaces defaults in the scheduler's settings by the values that the operators set. A
// nil Operator changes nothing.
func (o *Operator) applyTo(c *scheduler.Settings) {
	if o == nil {
		return
	}
	if o.Learn != nil {
		c.Learn = *o.Learn
	}
	if o.Spare != nil {
		c.SpareMachines = *o.Spare
	}
}
