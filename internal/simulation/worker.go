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
type provider struct {
	w     *Cluster
	up    bool
	hires map[string][]string
	n     int
}

var size = domain.Resources{CPU: 16000, GPU: 4000, Memory: 64000}

func (c *provider) flavors() any {
	if !c.up {
		return nil
	}
	return scheduler.MachineTypesListed{OK: true, Types: []domain.MachineType{{
		Name: "box", Capacity: size, ImageCacheGB: 100, FetchGBPerS: 1, Price: 10, SpotPrice: 4, BootSeconds: 10, Zones: []string{"a", "b"},
	}}}
}

func (c *provider) list() any {
	if !c.up {
		return nil
	}
	ev := scheduler.InstancesListed{OK: true}
	for _, k := range c.w.workers {
		if k.gone && c.w.Now-k.goneAt > c.w.set.ListLag || c.w.Now-k.born < c.w.set.ListLag {
			continue
		}
		st := "booting"
		if k.up {
			st = "running"
		}
		ev.Instances = append(ev.Instances, domain.Instance{Name: k.name, Addr: k.name, Type: "box", Zone: k.zone, Spot: k.spot, Status: st,
			HeldSeconds: (c.w.Now - k.born).Seconds()})
	}
	return ev
}

func (c *provider) rent(e scheduler.RentMachines) any {
	if !c.up {
		return scheduler.RentalAnswered{RentalID: e.RentalID}
	}
	if names, ok := c.hires[e.RentalID]; ok {
		return scheduler.RentalAnswered{RentalID: e.RentalID, OK: true, Names: names}
	}
	var names []string
	for i := 0; i < e.Count; i++ {
		live := 0
		for _, k := range c.w.workers {
			if !k.gone && k.zone == e.Zone && k.spot == e.Spot {
				live++
			}
		}
		if live >= c.w.fill {
			break
		}
		c.n++
		k := newWorker(c.w, fmt.Sprintf("n-%06d", c.n), e.Zone, e.Spot)
		names = append(names, k.name)
	}
	if len(names) == 0 {
		return scheduler.RentalAnswered{RentalID: e.RentalID, NoCapacity: true}
	}
	c.hires[e.RentalID] = names
	return scheduler.RentalAnswered{RentalID: e.RentalID, OK: true, Names: names}
}

func (c *provider) giveBack(names []string) any {
	if !c.up {
		return nil
	}
	for _, n := range names {
		if k := c.w.worker(n); k != nil && !k.gone {
			k.vanish("returned")
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
func (t *task) on() bool {
	return t.state == domain.ReportedWaiting || t.state == domain.ReportedRunning || t.state == domain.ReportedSaving
}

// worker is one machine.
type worker struct {
	w          *Cluster
	name, zone string
	spot       bool
	born       time.Duration
	up, gone   bool
	goneAt     time.Duration
	hung       bool
	sick       bool
	paused     []func()
	shift      uint64
	tally      uint64
	baton      uint64
	node       int
	tasks      map[domain.TaskID]*task
	answered   time.Duration // sending time of the last answered report
	busy       bool          // a report is in flight
	last       time.Duration
	recall     time.Duration
	last200    time.Duration // when it last got a 200
	deafTill   time.Duration // until then nothing reaches it, though its reports arrive
	muteTill   time.Duration // until then it reaches no controller; commands reach it
	keepTill   time.Duration // until then its reports are kept for the next leader
	copyTill   time.Duration // until then copies of its reports come late
	copyMost   time.Duration
}

// lateBoot is how many times as long machines take that come up late.
const lateBoot = 2

func newWorker(w *Cluster, name, zone string, spot bool) *worker {
	k := &worker{w: w, name: name, zone: zone, spot: spot, born: w.Now, shift: 1, tasks: map[domain.TaskID]*task{}, recall: -1}
	w.workers = append(w.workers, k)
	w.byName[name] = k
	boot := time.Duration(8000+w.rng.IntN(6000)) * time.Millisecond
	if w.strikes("quick") {
		boot = time.Duration(300+w.rng.IntN(1700)) * time.Millisecond
		w.came("up within two seconds")
	}
	if w.strikes("boots late " + zone) {
		boot *= lateBoot
		w.came("up late")
	}
	if w.strikes("boots never " + zone) {
		w.came("never up")
		return k
	}
	w.after(boot, func() {
		if k.gone {
			return
		}
		k.up, k.answered, k.node = true, w.Now, w.rng.IntN(len(w.nodes))
		k.loop()
		k.leases()
	})
	return k
}

func (k *worker) ids() []domain.TaskID {
	l := make([]domain.TaskID, 0, len(k.tasks))
	for id := range k.tasks {
		l = append(l, id)
	}
	sort.Slice(l, func(a, b int) bool {
		return l[a].Job < l[b].Job || l[a].Job == l[b].Job && l[a].Index < l[b].Index
	})
	return l
}

func (k *worker) vanish(how string) {
	k.w.log("%s %s", k.name, how)
	k.gone, k.goneAt = true, k.w.Now
	k.tasks = map[domain.TaskID]*task{}
}

// do runs f now, or when the machine no longer hangs.
func (k *worker) do(f func()) {
	if k.gone {
		return
	}
	if k.hung {
		k.paused = append(k.paused, f)
		return
	}
	f()
}

func (k *worker) hang(d time.Duration) {
	k.w.log("%s hangs", k.name)
	k.hung = true
	k.w.after(d, func() {
		if k.gone {
			return
		}
		k.w.log("%s goes on", k.name)
		k.hung = false
		p := k.paused
		k.paused = nil
		for _, f := range p {
			k.do(f)
		}
	})
}

func (k *worker) loop() {
	k.w.after(time.Duration(2250+k.w.rng.IntN(1500))*time.Millisecond, func() { k.do(k.loop) })
	k.report()
}

// leases ends the session when no report was answered in time; also while the
// machine hangs, since its tasks are killed before anything else then.
func (k *worker) leases() {
	if k.gone {
		return
	}
	if k.w.Now-k.answered > k.w.set.WorkerLease {
		k.w.log("%s loses its lease, shift %d", k.name, k.shift+1)
		k.shift++
		k.tasks = map[domain.TaskID]*task{}
		k.answered = k.w.Now
	}
	k.w.after(100*time.Millisecond, k.leases)
}

func (k *worker) changed() {
	wait := max(0, 500*time.Millisecond-(k.w.Now-k.last))
	k.w.after(wait, func() { k.do(k.report) })
}

func (k *worker) makeReport() domain.Heartbeat {
	k.tally++
	r := domain.Heartbeat{Machine: k.name, Addr: k.name, Type: "box", Zone: k.zone, Spot: k.spot,
		AgentEpoch: k.shift, Sequence: k.tally, FencingToken: k.baton, PreemptionNotice: -1}
	if k.recall >= 0 {
		r.PreemptionNotice = max(0, (k.recall - k.w.Now).Seconds())
	}
	for _, id := range k.ids() {
		t := k.tasks[id]
		r.Tasks = append(r.Tasks, domain.TaskReport{Task: id, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (k *worker) report() {
	if k.busy || k.gone {
		return
	}
	k.busy, k.last = true, k.w.Now
	r := k.makeReport()
	sent, shift := k.w.Now, k.shift
	n := k.w.nodes[k.node]
	if k.w.Now < k.copyTill {
		// A copy of the report comes late, here or to another controller.
		o := k.w.nodes[k.w.rng.IntN(len(k.w.nodes))]
		k.w.after(time.Duration(1+k.w.rng.Int64N(int64(k.copyMost))), func() {
			o.ask(func(q uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: q, Heartbeat: r} }, func(scheduler.Effect) {})
		})
	}
	if k.w.Now < k.keepTill {
		k.w.kept = append(k.w.kept, r)
	}
	k.w.call(k.name, n.name, 4*time.Second, func(reply func(any)) {
		if k.w.Now < k.muteTill {
			return
		}
		n.ask(func(q uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: q, Heartbeat: r} }, func(e scheduler.Effect) {
			if k.w.Now >= k.deafTill {
				reply(e)
			}
		})
	}, func(x any) {
		k.do(func() {
			k.busy = false
			a, _ := x.(scheduler.HeartbeatReply)
			switch {
			case a.Status == 200:
				if shift != k.shift || a.FencingToken < k.baton || k.w.Now-sent > 4*time.Second {
					return
				}
				k.baton, k.answered, k.last200 = a.FencingToken, sent, k.w.Now
				k.obey(a.Commands)
				return
			case a.Status == 421:
				for i, o := range k.w.nodes {
					if o.name == a.Owner && i != k.node {
						k.node = i
						k.w.after(200*time.Millisecond, func() { k.do(k.report) })
						return
					}
				}
			}
			k.node = (k.node + 1) % len(k.w.nodes)
			k.w.after(time.Second, func() { k.do(k.report) })
		})
	})
}

// direct carries out orders sent straight here.
func (k *worker) direct(e scheduler.SendCommands, reply func(any)) {
	if k.w.Now < k.deafTill {
		return
	}
	k.do(func() {
		if e.FencingToken >= k.baton && e.AgentEpoch == k.shift {
			if k.w.Now < k.muteTill {
				k.w.came("orders to a mute machine")
			}
			k.baton = e.FencingToken
			k.obey(e.Commands)
		}
		reply(k.makeReport())
	})
}

func (k *worker) obey(os []domain.Command) {
	for _, o := range os {
		t := k.tasks[o.Task]
		switch o.Kind {
		case domain.ForgetTask:
			if t != nil && t.attempt == o.Attempt && t.state == domain.ReportedEnded {
				delete(k.tasks, o.Task)
			}
		case domain.StopTask:
			if t == nil || t.attempt != o.Attempt || t.state == domain.ReportedEnded {
				continue
			}
			sp := k.w.jobs[o.Task.Job].spec
			if t.state == domain.ReportedRunning && sp.CheckpointInterval > 0 && o.GraceSeconds >= sp.CheckpointCost {
				t.state = domain.ReportedSaving
				k.w.after(time.Duration(sp.CheckpointCost*float64(time.Second)), func() {
					k.do(func() {
						if k.tasks[o.Task] == t && t.state == domain.ReportedSaving {
							k.end(o.Task, t, domain.CauseStopped, true)
						}
					})
				})
			} else if t.state != domain.ReportedSaving || o.GraceSeconds == 0 {
				k.end(o.Task, t, domain.CauseStopped, false)
			}
		case domain.StartTask:
			k.start(o)
		}
	}
}

func (k *worker) end(id domain.TaskID, t *task, cause string, saved bool) {
	t.state, t.cause, t.saved = domain.ReportedEnded, cause, saved
	k.w.log("%s/%d try %d ends on %s: %s", id.Job, id.Index, t.attempt, k.name, cause)
	k.changed()
}

func (k *worker) start(o domain.Command) {
	id := o.Task
	j := k.w.jobs[id.Job]
	if t := k.tasks[id]; t != nil {
		if t.attempt != o.Attempt && t.state != domain.ReportedEnded {
			k.w.broke("busy", "%v try %d on %s beside try %d", id, o.Attempt, k.name, t.attempt)
		}
		return
	}
	if !k.w.allDone(j) {
		k.w.broke("too_early", "%s/%d on %s before what it awaits is done", id.Job, id.Index, k.name)
	}
	// An answer given under the fence may still bring it, a little later; not after
	// that. Runs go out in answers alone, which a worker drops after 4 s.
	if late := k.w.Now - j.cancelAt; j.cancelAt >= 0 && late > 0 {
		k.w.came("start after a cancellation was told")
		if late > k.w.set.FenceAge+4*time.Second {
			k.w.broke("late_start", "%s/%d on %s %.1f s after its user was told cancelled", id.Job, id.Index, k.name, late.Seconds())
		}
	}
	t := &task{attempt: o.Attempt, state: domain.ReportedFetching}
	k.tasks[id] = t
	var used domain.Resources
	for x, y := range k.tasks {
		if y.state != domain.ReportedEnded {
			used = used.Plus(k.w.jobs[x.Job].spec.Request, 1)
		}
	}
	if !size.Fits(used) {
		k.end(id, t, domain.CauseNoRoom, false)
		return
	}
	shift := k.shift
	k.w.after(time.Duration(500+k.w.rng.IntN(1500))*time.Millisecond, func() {
		k.do(func() {
			if k.shift != shift || k.tasks[id] != t || t.state != domain.ReportedFetching {
				return
			}
			k.arrive(id, t, j)
		})
	})
}

// arrive: the task has its image and is on the machine from now on.
func (k *worker) arrive(id domain.TaskID, t *task, j *truth) {
	if k.sick || j.mistake {
		k.end(id, t, domain.CauseError, false)
		return
	}
	for _, o := range k.w.workers {
		if x := o.tasks[id]; o != k && x != nil && x.on() && !o.gone {
			k.w.broke("ran_twice", "%s/%d try %d on %s while try %d is on %s", id.Job, id.Index, t.attempt, k.name, x.attempt, o.name)
		}
	}
	k.checkZones(id, j)
	if k.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != k.zone {
		k.w.broke("wrong_place", "%s/%d on %s", id.Job, id.Index, k.name)
	}
	if j.cancelAt >= 0 && k.w.Now-j.cancelAt > k.w.set.CancelWithin {
		k.w.broke("ran_cancelled", "%s/%d starts on %s", id.Job, id.Index, k.name)
	}
	t.state = domain.ReportedWaiting
	// In a wide world the sums over all machines are made each second only.
	if len(k.w.workers) <= tuning.LargeFleetMachines {
		k.w.checkPlaces()
	}
	if j.spec.Shape != domain.Gang || j.spec.TaskCount == 1 {
		k.run(id, t, j)
		return
	}
	type member struct {
		k  *worker
		id domain.TaskID
		t  *task
	}
	var all []member
	for _, o := range k.w.workers {
		for i := 0; i < j.spec.TaskCount; i++ {
			oid := domain.TaskID{Job: id.Job, Index: i}
			if x := o.tasks[oid]; x != nil && x.attempt == t.attempt && x.state == domain.ReportedWaiting {
				all = append(all, member{o, oid, x})
			}
		}
	}
	if len(all) == j.spec.TaskCount {
		for _, m := range all {
			m.k.run(m.id, m.t, j)
		}
	}
}

// checkZones checks the rules on a job's zones as one of its tasks comes on, given the
// others that are on machines: all in one zone, or at most half in each.
func (k *worker) checkZones(id domain.TaskID, j *truth) {
	if !j.spec.OneZone && !j.spec.Spread {
		return
	}
	here := 1
	for _, o := range k.w.workers {
		if o.gone {
			continue
		}
		for _, other := range o.ids() {
			if other.Job != id.Job || !o.tasks[other].on() {
				continue
			}
			if o.zone == k.zone {
				here++
			} else if j.spec.OneZone {
				k.w.broke("wrong_place", "%s/%d in zone %s, %d in %s", id.Job, id.Index, k.zone, other.Index, o.zone)
			}
		}
	}
	if most := (j.spec.TaskCount + 1) / 2; j.spec.Spread && here > most {
		k.w.broke("wrong_place", "%s/%d is number %d in zone %s, of %d allowed", id.Job, id.Index, here, k.zone, most)
	}
}

func (k *worker) run(id domain.TaskID, t *task, j *truth) {
	j.begun = true
	t.state = domain.ReportedRunning
	k.w.log("%s/%d try %d runs on %s (%s)", id.Job, id.Index, t.attempt, k.name, k.zone)
	k.changed()
	if j.spec.Shape == domain.Service {
		return
	}
	left := j.run
	if j.done[id.Index] {
		left = 0
	}
	shift := k.shift
	k.w.after(left, func() {
		k.do(func() {
			if k.shift == shift && k.tasks[id] == t && t.state == domain.ReportedRunning {
				j.done[id.Index] = true
				for i := 0; i < j.spec.TaskCount && j.spec.Shape == domain.Gang; i++ {
					j.done[i] = true // they complete together
				}
				if len(j.done) == j.spec.TaskCount && j.asked && k.w.strikes("endings") {
					k.w.came("cancelled at its end")
					k.w.Abort(id.Job)
				}
				k.end(id, t, domain.CauseDone, false)
			}
		})
	})
}
