package simulation

import (
	"fmt"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// largeCluster returns a cluster of a large deployment with so many controllers. fill is the
// number of machines of each zone and kind that can be rented.
func largeCluster(controllers, fill int, change ...func(*scheduler.Settings)) *Cluster {
	c := New(1, largeSettings(controllers, fill, change...))
	c.marketCapacity = fill
	return c
}

// largeSettings returns the settings of a large deployment, with each change applied. Each controller
// has an equal share of 0.92 (tuning.BudgetShare) of 25 changes and 100 requests a second.
func largeSettings(controllers, fill int, change ...func(*scheduler.Settings)) scheduler.Settings {
	settings := Settings()
	settings.Controllers, settings.ZoneOf = nil, map[string]string{}
	for i := 0; i < controllers; i++ {
		name := fmt.Sprintf("c-%d", i)
		settings.Controllers = append(settings.Controllers, name)
		settings.ZoneOf[name] = settings.Zones[i%len(settings.Zones)]
	}
	settings.HeartbeatInterval = 5 * time.Second
	settings.WriteRate, settings.ReadRate = 25*0.92/float64(controllers), 100*0.92/float64(controllers)
	settings.Teams = map[string]domain.Quota{
		"red":  {Guarantee: domain.Resources{GPU: 800000}, Limit: domain.Resources{GPU: int64(fill) * 12000}},
		"blue": {Guarantee: domain.Resources{GPU: 800000}, Limit: domain.Resources{GPU: int64(fill) * 12000}},
	}
	for _, f := range change {
		f(&settings)
	}
	return settings
}

// fleetCluster returns a large cluster with seven controllers and the rates and leases of the
// largest deployments. fill is the number of machines of each zone and kind. The rates are those that
// package config calculates for seven controllers from 30 changes and 120 requests a second: 0.92 is
// tuning.BudgetShare and 1.4 is tuning.WriteOverlap.
func fleetCluster(fill int, change ...func(*scheduler.Settings)) *Cluster {
	rates := func(s *scheduler.Settings) {
		s.WriteRate, s.ReadRate = 30*0.92*1.4/7, 120*0.92/7
		s.WorkerLease, s.CancelWithin = 31*time.Second, 56*time.Second
	}
	return largeCluster(7, fill, append([]func(*scheduler.Settings){rates}, change...)...)
}
