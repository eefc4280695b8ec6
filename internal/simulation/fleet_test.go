//go:build !race

package simulation

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// The tests in this file play fleets of up to 4,000 machines. The race detector
// has nothing to find in a cluster of one goroutine and would make them last ten
// times as long; `make test` runs them without it.

// TestFleetRestarts: with 2,000 machines all controllers end at once, just after
// an outage of the state service. The cluster checks the rules and that no value
// and no transaction is larger than the state service takes. Before, the work
// for each event must not grow with the fleet: pending heartbeats were once all
// looked at again for each event, forty times as often as now.
func TestFleetRestarts(t *testing.T) {
	c := fleetCluster(500)
	c.submitLargeLoad(260, time.Millisecond)
	c.submitLargeLoad(300, 300*time.Millisecond)
	c.Run(60 * time.Second)
	a := c.totalWork()
	c.Run(70 * time.Second)
	b := c.totalWork()
	events, machines := float64(b.Events-a.Events), float64(len(c.workers))*10
	t.Logf("%.0f events a second; pending heartbeats for each %.2f; looks at each machine a second %.2f, weighed for tasks %.1f",
		events/10, float64(b.PendingHeartbeats-a.PendingHeartbeats)/events, float64(b.Machines-a.Machines)/machines, float64(b.Targets-a.Targets)/machines)
	if x := float64(b.PendingHeartbeats-a.PendingHeartbeats) / events; x > 10 {
		t.Errorf("%.1f pending heartbeats are looked at for each event", x)
	}
	if x := float64(b.Machines-a.Machines) / machines; x > 5 {
		t.Errorf("each machine is looked at %.1f times a second", x)
	}
	if up := c.countAnswered(0).up; up < 1900 {
		t.Fatalf("only %d machines are up", up)
	}
	c.state.outage(12 * time.Second)
	c.Run(80 * time.Second)
	crash := c.Now
	for i, p := range c.processes {
		back := 4*time.Second + time.Duration(i*130)*time.Millisecond
		if i == 2 {
			back = 150 * time.Millisecond // its old lease still lives
		}
		p.crash(back)
	}
	// Twice more in the middle of the election, back at once.
	c.after(4200*time.Millisecond, func() { c.processes[0].crash(100 * time.Millisecond) })
	c.after(4700*time.Millisecond, func() { c.processes[2].crash(100 * time.Millisecond) })
	c.Run(crash + 12*time.Second)
	changes, requests := c.state.changes, c.state.requests
	if a := c.countAnswered(crash); !a.isNearlyAll() {
		t.Errorf("8 s after the controllers came back %d of %d machines have an answer", a.answered, a.up)
	}
	c.Run(crash + 30*time.Second)
	secs := (c.Now - crash - 12*time.Second).Seconds()
	if r := float64(c.state.changes-changes) / secs; r > 1.4*30 { // the clients' budgets come on top
		t.Errorf("%.1f changes a second", r)
	}
	if r := float64(c.state.requests-requests) / secs; r > 120 {
		t.Errorf("%.1f requests a second", r)
	}
	lost := 0
	for _, w := range c.workers {
		if !w.isGone && w.agentEpoch > 1 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d machines lost their lease", lost)
	}
	expectNoViolation(t, c)
}

// TestFleetZoneCut: with 2,000 machines one of two zones is cut off, with its
// controllers, for twice a lease. None of its machines is given back, work that
// can't be reached is neither lost nor run twice, and the other zone goes on.
func TestFleetZoneCut(t *testing.T) {
	c := fleetCluster(500)
	c.submitLargeLoad(260, time.Millisecond)
	c.submitLargeLoad(400, 300*time.Millisecond)
	c.Run(60 * time.Second)
	c.cordons = nil
	c.cutZone("b", "hold", 40*time.Second)
	c.Run(90 * time.Second)
	var otherZone answerCount
	for _, w := range c.workers {
		if w.zone != "a" || !w.isUp || w.isGone {
			continue
		}
		otherZone.up++
		if w.acceptedAt > c.Now-10*time.Second {
			otherZone.answered++
		}
	}
	if !otherZone.isNearlyAll() {
		t.Errorf("%d of the %d machines of the other zone have an answer", otherZone.answered, otherZone.up)
	}
	c.Run(125 * time.Second)
	given := 0
	for _, m := range c.cordons {
		if strings.Contains(m, "lost") || strings.Contains(m, "stuck") || strings.Contains(m, "deaf") {
			given++
		}
	}
	if given > 20 {
		t.Errorf("%d machines were given up for the cut, as %s", given, c.cordons[0])
	}
	if a := c.countAnswered(c.Now - 10*time.Second); !a.isNearlyAll() {
		t.Errorf("25 s after the cut %d of %d machines have an answer", a.answered, a.up)
	}
	expectNoViolation(t, c)
}

// TestFleetUpgrade: with 2,000 machines the seven controllers are replaced one by
// one, and the state service's limits fall to 2 KiB, 4 changes and 18 changes a second
// while the values of the version before are still being made smaller. No rule
// breaks, hardly a change is refused for its size, the machines go on starting tasks,
// pipelines run, and in the end no value of a job is too large.
func TestFleetUpgrade(t *testing.T) {
	settings := largeSettings(7, 500, func(s *scheduler.Settings) {
		s.CurrentValueLimit, s.ValueLimit, s.TransactionLimit = 4096, 2048, 4
		s.WriteRate, s.FairWriteRate, s.ReadRate = 18*0.92*1.4/7, 18*0.92/7, 120*0.92/7
		s.WorkerLease, s.CancelWithin = 31*time.Second, 56*time.Second
	})
	c := newCluster(1, settings, 8, true)
	c.marketCapacity = 500
	c.submitLargeLoad(220, time.Millisecond)
	c.submitLargeLoad(260, 500*time.Millisecond)
	for i, p := range c.processes {
		c.after(time.Duration(40+4*i)*time.Second, func() {
			p.isPreviousVersion = false
			p.crash([]time.Duration{200 * time.Millisecond, 3 * time.Second}[i%2])
		})
	}
	c.Run(63 * time.Second)
	if c.isFormatOn() {
		t.Fatal("the format is on before the last controller is replaced")
	}
	c.Run(66 * time.Second)
	if !c.isFormatOn() {
		t.Fatal("the format is not on")
	}
	large := c.countValuesOver(settings.ValueLimit, "")
	c.state.lowerLimits(settings.ValueLimit, settings.TransactionLimit)
	c.submitShortPipelines(20, time.Second)
	starts := c.Starts()
	c.Run(140 * time.Second)
	if n := c.Starts() - starts; n < 1500 {
		t.Errorf("only %d tasks started in 70 s after the limits fell", n)
	}
	c.Run(200 * time.Second)
	done := c.countShortPipelinesDone(20)
	left := c.countValuesOver(settings.ValueLimit, "b/task/") // what was cut stays where it was
	t.Logf("%d values too large when the limits fell, %d in the end; %d made smaller, %d refused; %d pipelines done", large, left, c.shrunkValues, c.state.refusedAsTooLarge, done)
	if large < 3 || left > 0 || c.state.refusedAsTooLarge > 14 || done < 18 {
		t.Errorf("%d values too large when the limits fell, %d in the end; %d refused; %d of 20 pipelines done", large, left, c.state.refusedAsTooLarge, done)
	}
	expectNoViolation(t, c)
}

// countValuesOver counts the values larger than a limit, those of keys that begin so aside.
func (c *Cluster) countValuesOver(limit int, except string) int {
	n := 0
	for key, e := range c.state.entries {
		if len(e.value) > limit && (except == "" || !strings.HasPrefix(key, except)) {
			n++
		}
	}
	return n
}

// shortPipelineJobs names the two jobs of a short pipeline.
func shortPipelineJobs(i int) (first, second string) {
	return fmt.Sprintf("job-%06d", 900000+2*i), fmt.Sprintf("job-%06d", 900001+2*i)
}

// submitShortPipelines submits pipelines of two arrays of three tasks each.
func (c *Cluster) submitShortPipelines(count int, every time.Duration) {
	for i := 0; i < count; i++ {
		first := domain.JobSpec{Class: "p", Team: "red", Shape: domain.Array, TaskCount: 3,
			Request: domain.Resources{CPU: 1000, Memory: 1000}, Spot: true, EstimatedRuntime: 5}
		second := first
		first.ID, second.ID = shortPipelineJobs(i)
		second.Dependencies = []string{first.ID}
		c.after(time.Duration(i)*every, func() {
			c.Submit(first, 5*time.Second)
			c.Submit(second, 5*time.Second)
		})
	}
}

// countShortPipelinesDone counts those whose last job is done.
func (c *Cluster) countShortPipelinesDone(count int) int {
	done := 0
	for i := 0; i < count; i++ {
		_, second := shortPipelineJobs(i)
		if job := c.jobs[second]; job != nil && len(job.done) == 3 {
			done++
		}
	}
	return done
}

// TestFleetLargestArray: an array as large as the protocol allows, in a grown
// deployment. What each controller holds stays far below its memory, and what the
// array's tasks cost leaves the state service changes for others.
func TestFleetLargestArray(t *testing.T) {
	c := largeCluster(5, 120, func(s *scheduler.Settings) { s.Teams["guest"] = domain.Quota{} })
	c.submitLargeLoad(200, 400*time.Millisecond)
	c.Run(50 * time.Second)
	c.Submit(domain.JobSpec{ID: "job-900001", Class: "sweep", Team: "guest", Shape: domain.Array, Priority: 1, TaskCount: 100000,
		Request: domain.Resources{CPU: 250, Memory: 900}, Spot: true, Image: "sweep", ImageGB: 0.5, EstimatedRuntime: 5}, 5*time.Second)
	changes := c.state.changes
	c.Run(110 * time.Second)
	perSecond := float64(c.state.changes-changes) / 60
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	each := float64(mem.HeapAlloc) / 5 / (1 << 20)
	started := len(c.firstRunTimes("job-900001"))
	t.Logf("%d tasks started in a minute, %.1f changes a second, at most %.1f MB a controller with the simulation's own", started, perSecond, each)
	if started < 5000 || perSecond > 1.4*25 || each > 100 {
		t.Errorf("%d tasks started in a minute, %.1f changes a second, %.1f MB a controller", started, perSecond, each)
	}
	expectNoViolation(t, c)
}

// playZoneBoundFleet plays two minutes of a fleet of four times fill machines: zone-bound
// arrays, each booked in several commits, meet leaders that end between these, late
// transactions, lost answers and an outage.
func playZoneBoundFleet(fill int, drop scheduler.Guard) *Cluster {
	c := fleetCluster(fill, func(s *scheduler.Settings) { s.DisabledGuard = drop })
	size := fill / 250
	c.submitLargeLoad(150*size, time.Millisecond)
	c.submitLargeLoad(300*size, 300*time.Millisecond/time.Duration(size))
	c.submitZoneBoundLoad(70+20*size, 1800*time.Millisecond/time.Duration(size+1))
	for at := 32 * time.Second; at < 80*time.Second; at += 11 * time.Second {
		c.after(at, func() { c.process("leader").crash(300 * time.Millisecond) })
		c.after(at+4*time.Second, func() {
			c.startTrouble("late", 3*time.Second, 0.3)
			c.startTrouble("lost", 5*time.Second, 0.3)
		})
	}
	c.after(84*time.Second, func() { c.state.outage(6 * time.Second) })
	c.Run(120 * time.Second)
	return c
}

// TestFleetZoneBound: no task starts where it must not, machines go on with their heartbeats, and the
// jobs run, with 1,000 and with 4,000 machines. Without the guard the smaller fleet, whose
// zones are nearly full, breaks the rule; in the larger one there is room for each array.
func TestFleetZoneBound(t *testing.T) {
	for _, x := range []struct {
		fill int
		drop scheduler.Guard
	}{{250, ""}, {250, scheduler.GuardDraft}, {1000, ""}} {
		t.Run(fmt.Sprint(4*x.fill, x.drop), func(t *testing.T) {
			t.Parallel()
			c := playZoneBoundFleet(x.fill, x.drop)
			ran := 0
			for id, job := range c.jobs {
				if job.spec.Class == "z" && job.spec.Shape == domain.Array {
					ran += len(c.firstRunTimes(id))
				}
			}
			leaders := c.occurrences["new leader"]
			answers := c.countAnswered(c.Now - 10*time.Second)
			t.Logf("%d of %d machines answered in the last 10 s; %d leaders; %d tasks of zone-bound arrays ran, %d starts in all; %d broken rules; %v",
				answers.answered, answers.up, leaders, ran, c.Starts(), len(c.Broken), c.occurrences)
			if answers.up < 4*x.fill*95/100 || !answers.isNearlyAll() || leaders < 4 || ran < 3000 || c.occurrences["late transaction that changed something"] == 0 {
				t.Errorf("%d of %d machines answered, %d leaders, %d tasks of zone-bound arrays ran", answers.answered, answers.up, leaders, ran)
			}
			broken := slices.ContainsFunc(c.Broken, func(b string) bool { return strings.HasPrefix(b, "wrong_place") })
			if want := x.drop != ""; broken != want || !want && len(c.Broken) > 0 {
				t.Errorf("%d broken rules: %.300s", len(c.Broken), fmt.Sprint(c.Broken))
			}
		})
	}
}
