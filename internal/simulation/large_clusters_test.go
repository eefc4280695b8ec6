package simulation

import (
	"fmt"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// largeCluster is a deployment of the size that the grown ones have.
func largeCluster(nodes, fill int, change ...func(*scheduler.Settings)) *Cluster {
	c := New(1, largeSettings(nodes, fill, change...))
	c.marketCapacity = fill
	return c
}

// largeSettings are those of a grown deployment, with changes.
func largeSettings(nodes, fill int, change ...func(*scheduler.Settings)) scheduler.Settings {
	settings := Settings()
	settings.Controllers, settings.ZoneOf = nil, map[string]string{}
	for i := 0; i < nodes; i++ {
		n := fmt.Sprintf("c-%d", i)
		settings.Controllers = append(settings.Controllers, n)
		settings.ZoneOf[n] = settings.Zones[i%len(settings.Zones)]
	}
	settings.HeartbeatInterval = 5 * time.Second
	settings.WriteRate, settings.ReadRate = 25*0.92/float64(nodes), 100*0.92/float64(nodes)
	settings.Teams = map[string]domain.Quota{
		"red":  {Guarantee: domain.Resources{GPU: 800000}, Limit: domain.Resources{GPU: int64(fill) * 12000}},
		"blue": {Guarantee: domain.Resources{GPU: 800000}, Limit: domain.Resources{GPU: int64(fill) * 12000}},
	}
	for _, f := range change {
		f(&settings)
	}
	return settings
}

// fleetCluster is a deployment of the size and rates that the fleet ones have; fill is
// the number of machines of each zone and kind.
func fleetCluster(fill int, change ...func(*scheduler.Settings)) *Cluster {
	rates := func(s *scheduler.Settings) {
		s.WriteRate, s.ReadRate = 30*0.92*1.4/7, 120*0.92/7
		s.WorkerLease, s.CancelWithin = 31*time.Second, 56*time.Second
	}
	return largeCluster(7, fill, append([]func(*scheduler.Settings){rates}, change...)...)
}
