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

// The tests in this file play clusters of up to 4,000 machines. They are not built with the race
// detector: it has nothing to find in a simulated cluster, which runs in one goroutine, and would
// make them take ten times as long. `make test` runs them without it.

// TestFleetRestarts restarts all controllers of a cluster of 2,000 machines together after an outage
// of the state service. No machine may lose its lease, and no value or transaction may be too large.
// Before that, the work for each event must not grow with the number of machines: pending
// heartbeats were once all examined again for each event, forty times as often as now.
func TestFleetRestarts(t *testing.T) {
	c := fleetCluster(500)
	c.submitLargeLoad(260, time.Millisecond)
	c.submitLargeLoad(300, 300*time.Millisecond)
	c.Run(60 * time.Second)
	before := c.totalWork()
	c.Run(70 * time.Second)
	after := c.totalWork()
	events, machines := float64(after.Events-before.Events), float64(len(c.workers))*10
	t.Logf("%.0f events a second; %.2f pending heartbeats examined for each; each machine examined %.2f times a second, and %.1f times a second as a target for tasks",
		events/10, float64(after.PendingHeartbeats-before.PendingHeartbeats)/events, float64(after.Machines-before.Machines)/machines, float64(after.Targets-before.Targets)/machines)
	if x := float64(after.PendingHeartbeats-before.PendingHeartbeats) / events; x > 10 {
		t.Errorf("%.1f pending heartbeats are examined for each event, want at most 10", x)
	}
	if x := float64(after.Machines-before.Machines) / machines; x > 5 {
		t.Errorf("each machine is examined %.1f times a second, want at most 5", x)
	}
	if up := c.countAnswered(0).up; up < 1900 {
		t.Fatalf("only %d machines are up, want at least 1900", up)
	}
	c.state.outage(12 * time.Second)
	c.Run(80 * time.Second)
	crashedAt := c.Now
	for i, p := range c.processes {
		downtime := 4*time.Second + time.Duration(i*130)*time.Millisecond
		if i == 2 {
			downtime = 150 * time.Millisecond // before its old lease ends
		}
		p.crash(downtime)
	}
	// Two more crashes during the election; both controllers are back immediately.
	c.after(4200*time.Millisecond, func() { c.processes[0].crash(100 * time.Millisecond) })
	c.after(4700*time.Millisecond, func() { c.processes[2].crash(100 * time.Millisecond) })
	c.Run(crashedAt + 12*time.Second)
	changes, requests := c.state.changes, c.state.requests
	if a := c.countAnswered(crashedAt); !a.isNearlyAll() {
		t.Errorf("8 s after the controllers came back only %d of %d machines had a heartbeat accepted", a.answered, a.up)
	}
	c.Run(crashedAt + 30*time.Second)
	secs := (c.Now - crashedAt - 12*time.Second).Seconds()
	if r := float64(c.state.changes-changes) / secs; r > 1.4*30 { // the controllers together plan up to tuning.WriteOverlap (1.4) times the rate
		t.Errorf("%.1f changes a second in the state service, want at most 42", r)
	}
	if r := float64(c.state.requests-requests) / secs; r > 120 {
		t.Errorf("%.1f requests a second to the state service, want at most 120", r)
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

// TestFleetZoneCut cuts off one of two zones of a cluster of 2,000 machines, with its
// controllers, for 40 s, which is longer than a lease (31 s). Hardly any machine may be given up
// for it, tasks on unreachable machines may neither be lost nor run twice, and the other zone
// must go on.
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
		t.Errorf("only %d of the %d machines of the other zone had a heartbeat accepted", otherZone.answered, otherZone.up)
	}
	c.Run(125 * time.Second)
	givenUp := 0
	for _, cordon := range c.cordons {
		if strings.Contains(cordon, "lost") || strings.Contains(cordon, "stuck") || strings.Contains(cordon, "deaf") {
			givenUp++
		}
	}
	if givenUp > 20 {
		t.Errorf("%d machines were cordoned as lost, stuck or deaf during the cut, want at most 20; first cordon: %s", givenUp, c.cordons[0])
	}
	if a := c.countAnswered(c.Now - 10*time.Second); !a.isNearlyAll() {
		t.Errorf("25 s after the cut only %d of %d machines had a heartbeat accepted", a.answered, a.up)
	}
	expectNoViolation(t, c)
}

// TestFleetUpgrade replaces the seven controllers of a cluster of 2,000 machines one by one, within
// 18 changes a second. The limits fall to 2 KiB a value and 4 changes a transaction while values of
// the previous version are still being made smaller. No rule may be violated, few transactions
// refused for their size; tasks and pipelines must go on, and no value of a job stay too large.
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
		t.Fatal("the new format is on before the last controller is replaced")
	}
	c.Run(66 * time.Second)
	if !c.isFormatOn() {
		t.Fatal("the new format is not on after all controllers were replaced")
	}
	tooLarge := c.countValuesOver(settings.ValueLimit, "")
	c.state.lowerLimits(settings.ValueLimit, settings.TransactionLimit)
	c.submitShortPipelines(20, time.Second)
	starts := c.TaskStarts()
	c.Run(140 * time.Second)
	if n := c.TaskStarts() - starts; n < 1500 {
		t.Errorf("only %d tasks started in the 74 s after the limits fell, want at least 1500", n)
	}
	c.Run(200 * time.Second)
	done := c.countShortPipelinesDone(20)
	left := c.countValuesOver(settings.ValueLimit, "b/task/") // a chunk that is too large is not deleted when it is split into cells
	t.Logf("%d values too large when the limits fell, %d in the end; %d made smaller, %d transactions refused; %d pipelines done", tooLarge, left, c.shrunkValues, c.state.refusedAsTooLarge, done)
	if tooLarge < 3 || left > 0 || c.state.refusedAsTooLarge > 14 || done < 18 {
		t.Errorf("%d values too large when the limits fell, %d in the end; %d transactions refused; %d of 20 pipelines done", tooLarge, left, c.state.refusedAsTooLarge, done)
	}
	expectNoViolation(t, c)
}

// countValuesOver counts the values larger than limit bytes in the state service. Keys that begin
// with exceptPrefix are left out, unless it is empty.
func (c *Cluster) countValuesOver(limit int, exceptPrefix string) int {
	n := 0
	for key, e := range c.state.entries {
		if len(e.value) > limit && (exceptPrefix == "" || !strings.HasPrefix(key, exceptPrefix)) {
			n++
		}
	}
	return n
}

// shortPipelineJobs returns the IDs of the two jobs of short pipeline i.
func shortPipelineJobs(i int) (first, second string) {
	return fmt.Sprintf("job-%06d", 900000+2*i), fmt.Sprintf("job-%06d", 900001+2*i)
}

// submitShortPipelines submits count pipelines of two arrays of three tasks each, one per
// interval.
func (c *Cluster) submitShortPipelines(count int, interval time.Duration) {
	for i := 0; i < count; i++ {
		first := domain.JobSpec{Class: "p", Team: "red", Shape: domain.Array, TaskCount: 3,
			Request: domain.Resources{CPU: 1000, Memory: 1000}, Spot: true, EstimatedRuntime: 5}
		second := first
		first.ID, second.ID = shortPipelineJobs(i)
		second.Dependencies = []string{first.ID}
		c.after(time.Duration(i)*interval, func() {
			c.Submit(first, 5*time.Second)
			c.Submit(second, 5*time.Second)
		})
	}
}

// countShortPipelinesDone counts the short pipelines, of the first count, whose last job is done.
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

// TestFleetLargestArray submits an array of 100,000 tasks, the most that the protocol allows, to
// a large cluster. Each controller must stay far below the memory of its machine, and the commits
// for the array must leave the state service changes for other jobs.
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
	memoryMB := float64(mem.HeapAlloc) / 5 / (1 << 20)
	started := len(c.firstRunTimes("job-900001"))
	t.Logf("%d tasks started in a minute, %.1f changes a second, %.1f MB a controller, including the simulation's share", started, perSecond, memoryMB)
	if started < 5000 || perSecond > 1.4*25 || memoryMB > 100 {
		t.Errorf("%d tasks started in a minute, want at least 5000; %.1f changes a second, want at most 35; %.1f MB a controller, want at most 100", started, perSecond, memoryMB)
	}
	expectNoViolation(t, c)
}

// playZoneBoundFleet plays two minutes of a cluster of four times fill machines with zone-bound
// arrays, each booked in several commits. Leaders crash between these commits, transactions are
// carried out late, responses are lost, and the state service has an outage. drop is the guard to
// disable; empty: none.
func playZoneBoundFleet(fill int, drop scheduler.Guard) *Cluster {
	c := fleetCluster(fill, func(s *scheduler.Settings) { s.DisabledGuard = drop })
	size := fill / 250
	c.submitLargeLoad(150*size, time.Millisecond)
	c.submitLargeLoad(300*size, 300*time.Millisecond/time.Duration(size))
	c.submitZoneBoundLoad(70+20*size, 1800*time.Millisecond/time.Duration(size+1))
	for at := 32 * time.Second; at < 80*time.Second; at += 11 * time.Second {
		c.after(at, func() { c.process("leader").crash(300 * time.Millisecond) })
		c.after(at+4*time.Second, func() {
			c.startFault("late", 3*time.Second, 0.3)
			c.startFault("lost", 5*time.Second, 0.3)
		})
	}
	c.after(84*time.Second, func() { c.state.outage(6 * time.Second) })
	c.Run(120 * time.Second)
	return c
}

// TestFleetZoneBound requires, with 1,000 and with 4,000 machines, that no task starts in a zone
// that its job rules out, that heartbeats go on being accepted and that the zone-bound jobs run.
// With GuardDraft disabled the rule must be violated. This is played with 1,000 machines alone, whose
// zones are nearly full: the larger cluster has room for each array.
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
			t.Logf("%d of %d machines had a heartbeat accepted in the last 10 s; %d changes of leader; %d tasks of zone-bound arrays ran, %d starts in all; %d violations; %v",
				answers.answered, answers.up, leaders, ran, c.TaskStarts(), len(c.Violations), c.occurrences)
			if answers.up < 4*x.fill*95/100 || !answers.isNearlyAll() || leaders < 4 || ran < 3000 || c.occurrences["late transaction that changed something"] == 0 {
				t.Errorf("%d of %d machines had a heartbeat accepted, %d changes of leader, %d tasks of zone-bound arrays ran; or no late transaction changed anything", answers.answered, answers.up, leaders, ran)
			}
			isViolated := slices.ContainsFunc(c.Violations, func(v string) bool { return strings.HasPrefix(v, "wrong_place") })
			if want := x.drop != ""; isViolated != want || !want && len(c.Violations) > 0 {
				t.Errorf("%d violations, want some of wrong_place only with the guard disabled: %.300s", len(c.Violations), fmt.Sprint(c.Violations))
			}
		})
	}
}
