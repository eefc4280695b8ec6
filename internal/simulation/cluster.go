// Package simulation is a deterministic cluster for tests: state service, cloud, workers, users
// and a network that delays, cuts and holds back, all in virtual time around real schedulers.
// It checks the protocol's rules as it goes. The same seed and script give the same day to the
// byte: nothing here may depend on the order of a map or on real time.
package simulation

import (
	"math/rand/v2"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// Cluster is a simulated deployment.
type Cluster struct {
	Now        time.Duration // virtual time since the start
	Trace      []string      // what happened, for people
	Violations []string      // rules that were broken, each with how

	settings     scheduler.Settings
	rng          *rand.Rand // every random draw, so that the order of draws is part of a day
	events       eventQueue
	lastSequence int // of the event planned last

	network       network
	processes     []*controllerProcess
	state         *stateService
	cloud         *cloud
	workers       []*worker             // in the order in which they were rented, those that are gone included
	workersByName map[string]*worker    // those rented so far
	jobs          map[string]*jobRecord // by ID

	marketCapacity          int  // machines that can be rented of each zone and kind (spot or not)
	initialTransactionLimit int  // changes a transaction may have until the limit falls; 0: as in the settings
	startsAsPreviousVersion bool // all controllers begin as the version before

	faults             map[string]fault   // by name, with a controller's or zone's name where it strikes one alone
	faultsOverAt       time.Duration      // when the last trouble so far is over
	noFaultGrace       bool               // tests of the checker: troubles are no excuse
	recordedHeartbeats []domain.Heartbeat // old heartbeats that reach every controller when a leader begins
	leader             string             // by the state service's latest view

	occurrences   map[string]int                      // what really came about, so that tests can tell that troubles met
	cordons       []string                            // machines that controllers cordoned, and why
	shrunkValues  int                                 // values that were rewritten within a smaller limit
	generatedJobs int                                 // jobs that loads made so far
	roomSince     map[string]map[string]time.Duration // since when a machine has had room for a waiting job: job, then machine

	// onEffect, if set, sees all that leaves the schedulers, as it leaves them.
	onEffect func(*controllerProcess, scheduler.Effect)

	// Benchmarks only: the processor time of the schedulers' steps.
	timesSteps  bool
	stepTime    time.Duration
	longestStep time.Duration
}

// Settings of a small deployment with three controllers and two teams.
func Settings() scheduler.Settings {
	return scheduler.Settings{
		Controllers: []string{"c-0", "c-1", "c-2"},
		Zones:       []string{"a", "b"},
		Teams: map[string]domain.Quota{
			"red":  {Guarantee: domain.Resources{GPU: 8000}, Limit: domain.Resources{GPU: 12000}},
			"blue": {Guarantee: domain.Resources{GPU: 8000}, Limit: domain.Resources{GPU: 40000}},
		},
		HeartbeatInterval: 3 * time.Second,
		WorkerLease:       20 * time.Second,
		CancelWithin:      40 * time.Second,
		GangPeerWait:      5 * time.Second,
		FenceAge:          tuning.FenceAge,
		ValueLimit:        4096,
		TransactionLimit:  8,
		InstanceListLag:   4 * time.Second,
		StartWithin:       map[string]float64{},
		FinishWithin:      map[string][]float64{},
		SpareMachines:     0,
		Learn:             true,
	}
}

// New returns a cluster whose controllers start at time 0.
func New(seed uint64, settings scheduler.Settings) *Cluster {
	return newCluster(seed, settings, 0, false)
}

func newCluster(seed uint64, settings scheduler.Settings, initialTransactionLimit int, startsAsPreviousVersion bool) *Cluster {
	c := &Cluster{
		settings:                settings,
		rng:                     rand.New(rand.NewPCG(seed, 7)),
		network:                 newNetwork(),
		workersByName:           map[string]*worker{},
		jobs:                    map[string]*jobRecord{},
		marketCapacity:          defaultMarketCapacity,
		initialTransactionLimit: initialTransactionLimit,
		startsAsPreviousVersion: startsAsPreviousVersion,
		faults:                  map[string]fault{},
		occurrences:             map[string]int{},
		roomSince:               map[string]map[string]time.Duration{},
	}
	c.state = newStateService(c)
	c.cloud = &cloud{cluster: c, rentals: map[string][]string{}, isUp: true}
	for i, name := range settings.Controllers {
		p := &controllerProcess{cluster: c, name: name, clockRate: 1 + 0.0005*float64(i-1), isPreviousVersion: startsAsPreviousVersion}
		c.processes = append(c.processes, p)
		p.boot()
	}
	return c
}

// process finds a controller by name, "leader" among them; nil: there is none.
func (c *Cluster) process(name string) *controllerProcess {
	if name == "leader" {
		name = c.leader
	}
	for _, p := range c.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}
