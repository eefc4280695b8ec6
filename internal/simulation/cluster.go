// Package simulation is a deterministic cluster for tests. Real schedulers run in virtual time
// with a simulated state service, cloud provider, workers, users and a network that delays, drops
// and holds back messages. The rules of the protocol are checked during the run. The same seed and
// script give the same trace to the byte, so nothing here may depend on the order of a map or on
// real time.
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
	Trace      []string      // log of the run, one line for each thing that happened, for readers and golden traces
	Violations []string      // violations of the checker's rules, each as "RULE: description"

	settings     scheduler.Settings
	rng          *rand.Rand // source of all randomness; the order of draws affects the rest of the run
	events       eventQueue
	lastSequence int // sequence number of the event scheduled last

	network       network
	processes     []*controllerProcess
	state         *stateService
	cloud         *cloud
	workers       []*worker             // in the order of their rental; those that are gone stay
	workersByName map[string]*worker    // all machines rented so far, by name
	jobs          map[string]*jobRecord // by ID

	marketCapacity          int  // how many machines of each zone and kind (spot or not) can be rented
	initialTransactionLimit int  // changes per transaction until the action "limits"; 0: Settings.TransactionLimit
	startsAsPreviousVersion bool // all controllers start as the previous version

	faults             map[string]fault   // by name, followed by the controller or zone if only that one is affected
	faultsOverAt       time.Duration      // when the last fault ends; the checker counts delays only from then on
	noFaultGrace       bool               // faults don't change faultsOverAt (statement "blind"), for tests of the checker
	recordedHeartbeats []domain.Heartbeat // to be sent again to every controller when the leader changes next
	leader             string             // name of the leader in the state service's latest view; "": none yet

	occurrences   map[string]int                      // counts by description; tests check with them that faults took effect
	cordons       []string                            // machines that controllers cordoned, each with the reason
	shrunkValues  int                                 // number of values that were rewritten to fit a lower limit
	generatedJobs int                                 // number of jobs generated so far
	roomSince     map[string]map[string]time.Duration // since when a machine has had room for a waiting job, by job and machine

	// onEffect, if set, is called with each effect of a scheduler before it is applied.
	onEffect func(*controllerProcess, scheduler.Effect)

	// Time spent in the schedulers' steps, measured in real time; only for benchmarks.
	measuresSteps bool
	stepTime      time.Duration
	longestStep   time.Duration
}

// Settings returns the settings of a small deployment with three controllers and two teams.
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

// New returns a cluster whose controllers start at virtual time 0. All randomness is drawn from
// the seed.
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

// process returns the controller process with a name, where "leader" stands for the current leader;
// nil: there is none.
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
