package simulation

import (
	"fmt"
	"sort"
	"time"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// provider is a cloud with one machine type, two zones and a lagging list.
type cloud struct {
	cluster     *Cluster
	isUp        bool
	rentals     map[string][]string
	lastMachine int
}

var machineCapacity = domain.Resources{CPU: 16000, GPU: 4000, Memory: 64000}

func (c *cloud) machineTypes() any {
	if !c.isUp {
		return nil
	}
	return scheduler.MachineTypesListed{OK: true, Types: []domain.MachineType{{
		Name: "box", Capacity: machineCapacity, ImageCacheGB: 100, FetchGBPerS: 1, Price: 10, SpotPrice: 4, BootSeconds: 10, Zones: []string{"a", "b"},
	}}}
}

func (c *cloud) instances() any {
	if !c.isUp {
		return nil
	}
	ev := scheduler.InstancesListed{OK: true}
	for _, w := range c.cluster.workers {
		if w.isGone && c.cluster.Now-w.goneAt > c.cluster.settings.ListLag || c.cluster.Now-w.rentedAt < c.cluster.settings.ListLag {
			continue
		}
		st := "booting"
		if w.isUp {
			st = "running"
		}
		ev.Instances = append(ev.Instances, domain.Instance{Name: w.name, Addr: w.name, Type: "box", Zone: w.zone, Spot: w.spot, Status: st,
			HeldSeconds: (c.cluster.Now - w.rentedAt).Seconds()})
	}
	return ev
}

func (c *cloud) rent(e scheduler.RentMachines) any {
	if !c.isUp {
		return scheduler.RentalAnswered{RentalID: e.RentalID}
	}
	if names, ok := c.rentals[e.RentalID]; ok {
		return scheduler.RentalAnswered{RentalID: e.RentalID, OK: true, Names: names}
	}
	var names []string
	for i := 0; i < e.Count; i++ {
		live := 0
		for _, w := range c.cluster.workers {
			if !w.isGone && w.zone == e.Zone && w.spot == e.Spot {
				live++
			}
		}
		if live >= c.cluster.marketCapacity {
			break
		}
		c.lastMachine++
		w := newWorker(c.cluster, fmt.Sprintf("n-%06d", c.lastMachine), e.Zone, e.Spot)
		names = append(names, w.name)
	}
	if len(names) == 0 {
		return scheduler.RentalAnswered{RentalID: e.RentalID, NoCapacity: true}
	}
	c.rentals[e.RentalID] = names
	return scheduler.RentalAnswered{RentalID: e.RentalID, OK: true, Names: names}
}

func (c *cloud) returnMachines(names []string) any {
	if !c.isUp {
		return nil
	}
	for _, n := range names {
		if w := c.cluster.worker(n); w != nil && !w.isGone {
			w.vanish("returned")
		}
	}
	return true
}

type task struct {
	attempt uint64
	state   string
	cause   string
	saved   bool
}

// on: it has its image and has not ended.
func (t *task) isOnMachine() bool {
	return t.state == domain.ReportedWaiting || t.state == domain.ReportedRunning || t.state == domain.ReportedSaving
}

// worker is one machine.
type worker struct {
	cluster        *Cluster
	name, zone     string
	spot           bool
	rentedAt       time.Duration
	isUp, isGone   bool
	goneAt         time.Duration
	isHung         bool
	isSick         bool
	paused         []func()
	agentEpoch     uint64
	sequence       uint64
	fencingToken   uint64
	controller     int
	tasks          map[domain.TaskID]*task
	leaseRenewedAt time.Duration // sending time of the last answered report
	awaitsReply    bool          // a report is in flight
	heartbeatAt    time.Duration
	preemptedAt    time.Duration
	acceptedAt     time.Duration // when it last got a 200
	deafUntil      time.Duration // until then nothing reaches it, though its reports arrive
	muteUntil      time.Duration // until then it reaches no controller; commands reach it
	keepUntil      time.Duration // until then its reports are kept for the next leader
	copyUntil      time.Duration // until then copies of its reports come late
	copyDelay      time.Duration
}

// lateBoot is how many times as long machines take that come up late.
const lateBoot = 2

func newWorker(c *Cluster, name, zone string, spot bool) *worker {
	w := &worker{cluster: c, name: name, zone: zone, spot: spot, rentedAt: c.Now, agentEpoch: 1, tasks: map[domain.TaskID]*task{}, preemptedAt: -1}
	c.workers = append(c.workers, w)
	c.workersByName[name] = w
	boot := time.Duration(8000+c.rng.IntN(6000)) * time.Millisecond
	if c.strikes("quick") {
		boot = time.Duration(300+c.rng.IntN(1700)) * time.Millisecond
		c.occurred("up within two seconds")
	}
	if c.strikes("boots late " + zone) {
		boot *= lateBoot
		c.occurred("up late")
	}
	if c.strikes("boots never " + zone) {
		c.occurred("never up")
		return w
	}
	c.after(boot, func() {
		if w.isGone {
			return
		}
		w.isUp, w.leaseRenewedAt, w.controller = true, c.Now, c.rng.IntN(len(c.processes))
		w.heartbeatLoop()
		w.checkLease()
	})
	return w
}

func (w *worker) taskIDs() []domain.TaskID {
	l := make([]domain.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		l = append(l, id)
	}
	sort.Slice(l, func(a, b int) bool {
		return l[a].Job < l[b].Job || l[a].Job == l[b].Job && l[a].Index < l[b].Index
	})
	return l
}

func (w *worker) vanish(how string) {
	w.cluster.log("%s %s", w.name, how)
	w.isGone, w.goneAt = true, w.cluster.Now
	w.tasks = map[domain.TaskID]*task{}
}

// do runs f now, or when the machine no longer hangs.
func (w *worker) whenResponsive(f func()) {
	if w.isGone {
		return
	}
	if w.isHung {
		w.paused = append(w.paused, f)
		return
	}
	f()
}

func (w *worker) hang(d time.Duration) {
	w.cluster.log("%s hangs", w.name)
	w.isHung = true
	w.cluster.after(d, func() {
		if w.isGone {
			return
		}
		w.cluster.log("%s goes on", w.name)
		w.isHung = false
		p := w.paused
		w.paused = nil
		for _, f := range p {
			w.whenResponsive(f)
		}
	})
}

func (w *worker) heartbeatLoop() {
	w.cluster.after(time.Duration(2250+w.cluster.rng.IntN(1500))*time.Millisecond, func() { w.whenResponsive(w.heartbeatLoop) })
	w.heartbeat()
}

// leases ends the session when no report was answered in time; also while the
// machine hangs, since its tasks are killed before anything else then.
func (w *worker) checkLease() {
	if w.isGone {
		return
	}
	if w.cluster.Now-w.leaseRenewedAt > w.cluster.settings.WorkerLease {
		w.cluster.log("%s loses its lease, shift %d", w.name, w.agentEpoch+1)
		w.agentEpoch++
		w.tasks = map[domain.TaskID]*task{}
		w.leaseRenewedAt = w.cluster.Now
	}
	w.cluster.after(100*time.Millisecond, w.checkLease)
}

func (w *worker) heartbeatSoon() {
	wait := max(0, 500*time.Millisecond-(w.cluster.Now-w.heartbeatAt))
	w.cluster.after(wait, func() { w.whenResponsive(w.heartbeat) })
}

func (w *worker) makeHeartbeat() domain.Heartbeat {
	w.sequence++
	r := domain.Heartbeat{Machine: w.name, Addr: w.name, Type: "box", Zone: w.zone, Spot: w.spot,
		AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken, PreemptionNotice: -1}
	if w.preemptedAt >= 0 {
		r.PreemptionNotice = max(0, (w.preemptedAt - w.cluster.Now).Seconds())
	}
	for _, id := range w.taskIDs() {
		t := w.tasks[id]
		r.Tasks = append(r.Tasks, domain.TaskReport{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (w *worker) heartbeat() {
	if w.awaitsReply || w.isGone {
		return
	}
	w.awaitsReply, w.heartbeatAt = true, w.cluster.Now
	r := w.makeHeartbeat()
	sent, shift := w.cluster.Now, w.agentEpoch
	p := w.cluster.processes[w.controller]
	if w.cluster.Now < w.copyUntil {
		// A copy of the report comes late, here or to another controller.
		other := w.cluster.processes[w.cluster.rng.IntN(len(w.cluster.processes))]
		w.cluster.after(time.Duration(1+w.cluster.rng.Int64N(int64(w.copyDelay))), func() {
			other.request(func(q uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: q, Heartbeat: r} }, func(scheduler.Effect) {})
		})
	}
	if w.cluster.Now < w.keepUntil {
		w.cluster.keptHeartbeats = append(w.cluster.keptHeartbeats, r)
	}
	w.cluster.call(w.name, p.name, 4*time.Second, func(reply func(any)) {
		if w.cluster.Now < w.muteUntil {
			return
		}
		p.request(func(q uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: q, Heartbeat: r} }, func(e scheduler.Effect) {
			if w.cluster.Now >= w.deafUntil {
				reply(e)
			}
		})
	}, func(x any) {
		w.whenResponsive(func() {
			w.awaitsReply = false
			a, _ := x.(scheduler.HeartbeatReply)
			switch {
			case a.Status == 200:
				if shift != w.agentEpoch || a.FencingToken < w.fencingToken || w.cluster.Now-sent > 4*time.Second {
					return
				}
				w.fencingToken, w.leaseRenewedAt, w.acceptedAt = a.FencingToken, sent, w.cluster.Now
				w.carryOut(a.Commands)
				return
			case a.Status == 421:
				for i, other := range w.cluster.processes {
					if other.name == a.Owner && i != w.controller {
						w.controller = i
						w.cluster.after(200*time.Millisecond, func() { w.whenResponsive(w.heartbeat) })
						return
					}
				}
			}
			w.controller = (w.controller + 1) % len(w.cluster.processes)
			w.cluster.after(time.Second, func() { w.whenResponsive(w.heartbeat) })
		})
	})
}

// direct carries out orders sent straight here.
func (w *worker) receiveCommands(e scheduler.SendCommands, reply func(any)) {
	if w.cluster.Now < w.deafUntil {
		return
	}
	w.whenResponsive(func() {
		if e.FencingToken >= w.fencingToken && e.AgentEpoch == w.agentEpoch {
			if w.cluster.Now < w.muteUntil {
				w.cluster.occurred("orders to a mute machine")
			}
			w.fencingToken = e.FencingToken
			w.carryOut(e.Commands)
		}
		reply(w.makeHeartbeat())
	})
}

func (w *worker) carryOut(os []domain.Command) {
	for _, o := range os {
		t := w.tasks[o.Task]
		switch o.Kind {
		case domain.ForgetTask:
			if t != nil && t.attempt == o.Attempt && t.state == domain.ReportedEnded {
				delete(w.tasks, o.Task)
			}
		case domain.StopTask:
			if t == nil || t.attempt != o.Attempt || t.state == domain.ReportedEnded {
				continue
			}
			sp := w.cluster.jobs[o.Task.Job].spec
			if t.state == domain.ReportedRunning && sp.CheckpointInterval > 0 && o.GraceSeconds >= sp.CheckpointCost {
				t.state = domain.ReportedSaving
				w.cluster.after(time.Duration(sp.CheckpointCost*float64(time.Second)), func() {
					w.whenResponsive(func() {
						if w.tasks[o.Task] == t && t.state == domain.ReportedSaving {
							w.endTask(o.Task, t, domain.CauseStopped, true)
						}
					})
				})
			} else if t.state != domain.ReportedSaving || o.GraceSeconds == 0 {
				w.endTask(o.Task, t, domain.CauseStopped, false)
			}
		case domain.StartTask:
			w.startTask(o)
		}
	}
}

func (w *worker) endTask(id domain.TaskID, t *task, cause string, saved bool) {
	t.state, t.cause, t.saved = domain.ReportedEnded, cause, saved
	w.cluster.log("%s/%d try %d ends on %s: %s", id.Job, id.Index, t.attempt, w.name, cause)
	w.heartbeatSoon()
}

func (w *worker) startTask(o domain.Command) {
	id := o.Task
	job := w.cluster.jobs[id.Job]
	if t := w.tasks[id]; t != nil {
		if t.attempt != o.Attempt && t.state != domain.ReportedEnded {
			w.cluster.violated("busy", "%v try %d on %s beside try %d", id, o.Attempt, w.name, t.attempt)
		}
		return
	}
	if !w.cluster.dependenciesDone(job) {
		w.cluster.violated("too_early", "%s/%d on %s before what it awaits is done", id.Job, id.Index, w.name)
	}
	// An answer given under the fence may still bring it, a little later; not after
	// that. Runs go out in answers alone, which a worker drops after 4 s.
	if late := w.cluster.Now - job.cancelToldAt; job.cancelToldAt >= 0 && late > 0 {
		w.cluster.occurred("start after a cancellation was told")
		if late > w.cluster.settings.FenceAge+4*time.Second {
			w.cluster.violated("late_start", "%s/%d on %s %.1f s after its user was told cancelled", id.Job, id.Index, w.name, late.Seconds())
		}
	}
	t := &task{attempt: o.Attempt, state: domain.ReportedFetching}
	w.tasks[id] = t
	var used domain.Resources
	for x, y := range w.tasks {
		if y.state != domain.ReportedEnded {
			used = used.Plus(w.cluster.jobs[x.Job].spec.Request, 1)
		}
	}
	if !machineCapacity.Fits(used) {
		w.endTask(id, t, domain.CauseNoRoom, false)
		return
	}
	shift := w.agentEpoch
	w.cluster.after(time.Duration(500+w.cluster.rng.IntN(1500))*time.Millisecond, func() {
		w.whenResponsive(func() {
			if w.agentEpoch != shift || w.tasks[id] != t || t.state != domain.ReportedFetching {
				return
			}
			w.imageFetched(id, t, job)
		})
	})
}

// arrive: the task has its image and is on the machine from now on.
func (w *worker) imageFetched(id domain.TaskID, t *task, job *jobRecord) {
	if w.isSick || job.failsEverywhere {
		w.endTask(id, t, domain.CauseError, false)
		return
	}
	for _, o := range w.cluster.workers {
		if x := o.tasks[id]; o != w && x != nil && x.isOnMachine() && !o.isGone {
			w.cluster.violated("ran_twice", "%s/%d try %d on %s while try %d is on %s", id.Job, id.Index, t.attempt, w.name, x.attempt, o.name)
		}
	}
	w.checkZoneRules(id, job)
	if w.spot && !job.spec.Spot || job.spec.Zone != "" && job.spec.Zone != w.zone {
		w.cluster.violated("wrong_place", "%s/%d on %s", id.Job, id.Index, w.name)
	}
	if job.cancelToldAt >= 0 && w.cluster.Now-job.cancelToldAt > w.cluster.settings.CancelWithin {
		w.cluster.violated("ran_cancelled", "%s/%d starts on %s", id.Job, id.Index, w.name)
	}
	t.state = domain.ReportedWaiting
	// In a wide world the sums over all machines are made each second only.
	if len(w.cluster.workers) <= tuning.LargeFleetMachines {
		w.cluster.checkRunningTasks()
	}
	if job.spec.Shape != domain.Gang || job.spec.TaskCount == 1 {
		w.runTask(id, t, job)
		return
	}
	type member struct {
		k  *worker
		id domain.TaskID
		t  *task
	}
	var all []member
	for _, o := range w.cluster.workers {
		for i := 0; i < job.spec.TaskCount; i++ {
			oid := domain.TaskID{Job: id.Job, Index: i}
			if x := o.tasks[oid]; x != nil && x.attempt == t.attempt && x.state == domain.ReportedWaiting {
				all = append(all, member{o, oid, x})
			}
		}
	}
	if len(all) == job.spec.TaskCount {
		for _, m := range all {
			m.k.runTask(m.id, m.t, job)
		}
	}
}

// checkZones checks the rules on a job's zones as one of its tasks comes on, given the
// others that are on machines: all in one zone, or at most half in each.
func (w *worker) checkZoneRules(id domain.TaskID, job *jobRecord) {
	if !job.spec.OneZone && !job.spec.Spread {
		return
	}
	here := 1
	for _, o := range w.cluster.workers {
		if o.isGone {
			continue
		}
		for _, other := range o.taskIDs() {
			if other.Job != id.Job || !o.tasks[other].isOnMachine() {
				continue
			}
			if o.zone == w.zone {
				here++
			} else if job.spec.OneZone {
				w.cluster.violated("wrong_place", "%s/%d in zone %s, %d in %s", id.Job, id.Index, w.zone, other.Index, o.zone)
			}
		}
	}
	if most := (job.spec.TaskCount + 1) / 2; job.spec.Spread && here > most {
		w.cluster.violated("wrong_place", "%s/%d is number %d in zone %s, of %d allowed", id.Job, id.Index, here, w.zone, most)
	}
}

func (w *worker) runTask(id domain.TaskID, t *task, job *jobRecord) {
	job.hasBegun = true
	t.state = domain.ReportedRunning
	w.cluster.log("%s/%d try %d runs on %s (%s)", id.Job, id.Index, t.attempt, w.name, w.zone)
	w.heartbeatSoon()
	if job.spec.Shape == domain.Service {
		return
	}
	left := job.runtime
	if job.done[id.Index] {
		left = 0
	}
	shift := w.agentEpoch
	w.cluster.after(left, func() {
		w.whenResponsive(func() {
			if w.agentEpoch == shift && w.tasks[id] == t && t.state == domain.ReportedRunning {
				job.done[id.Index] = true
				for i := 0; i < job.spec.TaskCount && job.spec.Shape == domain.Gang; i++ {
					job.done[i] = true // they complete together
				}
				if len(job.done) == job.spec.TaskCount && job.isSubmitted && w.cluster.strikes("endings") {
					w.cluster.occurred("cancelled at its end")
					w.cluster.Cancel(id.Job)
				}
				w.endTask(id, t, domain.CauseDone, false)
			}
		})
	})
}
