package simulation

import (
	"fmt"
	"sort"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

// newView notices a change of leader: kept reports reach every controller then.
func (w *Cluster) newView(value []byte) {
	var v domain.View
	if json.Unmarshal(value, &v) != nil || v.Leader == w.leader {
		return
	}
	if w.leader != "" {
		w.came("new leader")
	}
	w.leader = v.Leader
	kept := w.kept
	w.kept = nil
	for _, r := range kept {
		for _, n := range w.nodes {
			w.after(time.Duration(1+w.rng.IntN(400))*time.Millisecond, func() {
				if k := w.worker(r.Machine); !k.gone && (r.AgentEpoch < k.shift || r.Sequence < k.tally) {
					w.came("old report under a new leader")
				}
				n.ask(func(q uint64) scheduler.Event { return scheduler.HeartbeatReceived{RequestID: q, Heartbeat: r} }, func(scheduler.Effect) {})
			})
		}
	}
}

// look asks all nodes about a job within milliseconds of news about it, again and
// again, and submits it anew.
func (w *Cluster) look(id string) {
	t := w.jobs[id]
	if !w.strikes("looks") || !t.asked {
		return
	}
	for _, n := range w.nodes {
		for k := 0; k < 4; k++ {
			w.after(time.Duration(w.rng.IntN(40*(k+1)))*time.Millisecond, func() {
				w.userAt(n, func(n *node, done func(scheduler.Effect)) {
					if k == 3 {
						sp := t.spec
						sp.TaskCount++ // whatever the other fields say now
						n.ask(func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: &sp} }, done)
						return
					}
					n.ask(func(r uint64) scheduler.Event { return scheduler.JobQueried{RequestID: r, ID: id} }, done)
				}, func(u scheduler.UserReply, asked time.Duration) {
					if u.Status == 200 {
						w.came("answer to a close look")
					}
					if u.Status == 201 {
						w.broke("taken", "%s accepted twice", id)
					}
					w.judge(id, u, asked)
				})
			})
		}
	}
}

// odd sends, once a second, a job that fits no machine or lacks a field, repeats
// a submission with other fields, and cancels a job that is done.
func (w *Cluster) odd() {
	if !w.strikes("odd") {
		return
	}
	w.after(time.Second, w.odd)
	ask := func(id string, ev func(r uint64) scheduler.Event, done func(scheduler.UserReply)) {
		w.user(func(n *node, f func(scheduler.Effect)) { n.ask(ev, f) }, func(u scheduler.UserReply, asked time.Duration) {
			w.judge(id, u, asked)
			done(u)
		})
	}
	w.fed++
	id := fmt.Sprintf("job-7%06d", w.fed)
	sp := domain.JobSpec{ID: id, Class: "odd", Team: "red", Shape: domain.Array, TaskCount: 1, Request: domain.Resources{CPU: 1000}, EstimatedRuntime: 5}
	spec, want := &sp, 422
	switch w.fed % 4 {
	case 0:
		sp.Request.GPU = size.GPU + 1
	case 1:
		sp.Team = "none"
	case 2:
		sp.Zone = "nowhere"
	case 3:
		spec, want = nil, 400
	}
	w.jobs[id] = &truth{spec: sp, done: map[int]bool{}, cancelAt: -1, readyAt: -1, wrong: true}
	ask(id, func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: spec} }, func(u scheduler.UserReply) {
		if u.Status == want {
			w.came("odd submission refused")
		} else if u.Status >= 400 && u.Status < 500 {
			w.broke("refused", "%s got %d, not %d", id, u.Status, want)
		}
	})
	for _, id := range w.ids() {
		t := w.jobs[id]
		if !t.accepted || t.told == "cancelled" || w.rng.IntN(4) != 0 {
			continue
		}
		if t.told == "done" {
			ask(id, func(r uint64) scheduler.Event { return scheduler.JobCancelled{RequestID: r, ID: id} }, func(scheduler.UserReply) { w.came("done job cancelled") })
			continue
		}
		again := t.spec
		again.Request.GPU = size.GPU + 1 // a repeat is known by its id alone
		ask(id, func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: id, Spec: &again} }, func(u scheduler.UserReply) {
			if u.Status == 200 {
				w.came("repeat answered")
			}
		})
	}
}

func (w *Cluster) ids() []string { return sorted(w.jobs) }

// onMachines counts a job's tasks on machines.
func (w *Cluster) onMachines(job string) int {
	n := 0
	for _, k := range w.workers {
		for id, x := range k.tasks {
			if id.Job == job && x.on() && !k.gone {
				n++
			}
		}
	}
	return n
}

// callOff cancels n running jobs within a fifth of a second; up to eight of the
// machines that run them hang.
func (w *Cluster) callOff(n int, hang time.Duration) {
	hung := 0
	for _, id := range w.ids() {
		t := w.jobs[id]
		var on []*worker
		for _, k := range w.workers {
			for _, x := range k.ids() {
				if x.Job == id && k.tasks[x].on() && !k.gone {
					on = append(on, k)
					break
				}
			}
		}
		if n == 0 || len(on) == 0 || t.cancelAsk || t.told != "" || !t.accepted {
			continue
		}
		n--
		w.came("running job called off")
		w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.Abort(id) })
		if hang > 0 && hung < 8 && !on[0].hung {
			hung++
			on[0].hang(hang)
		}
	}
}

// roomOn is how many tasks of a job a machine still has room for.
func (k *worker) roomOn(sp *domain.JobSpec) int64 {
	if k.gone || !k.up || k.hung || k.sick || k.recall >= 0 || k.w.Now < k.deafTill || k.w.Now < k.muteTill ||
		k.spot && !sp.Spot || sp.Zone != "" && sp.Zone != k.zone {
		return 0
	}
	free := size
	for id, x := range k.tasks {
		if x.state != domain.ReportedEnded {
			free = free.Plus(k.w.jobs[id.Job].spec.Request, -1)
		}
	}
	return free.CountFitting(sp.Request, int64(sp.TaskCount))
}

// checkRoom: once all troubles are over, no job is left waiting for 90 s while
// machines that fit have room for it all the time and its team is under its limit.
// Wide worlds are left out.
func (w *Cluster) checkRoom() {
	if len(w.workers) > tuning.LargeFleetMachines {
		return
	}
	used, there := map[string]domain.Resources{}, map[string]zoneCount{}
	for _, k := range w.workers {
		if k.gone {
			continue
		}
		for _, id := range k.ids() {
			if x := k.tasks[id]; x.state != domain.ReportedEnded {
				sp := w.jobs[id.Job].spec
				used[sp.Team] = used[sp.Team].Plus(sp.Request, 1)
				if there[id.Job] == nil {
					there[id.Job] = zoneCount{}
				}
				there[id.Job][k.zone]++
			}
		}
	}
	for _, id := range w.ids() {
		t := w.jobs[id]
		sp := &t.spec
		at := 1
		if sp.Shape == domain.Gang {
			at = sp.TaskCount
		}
		lim := w.set.Teams[sp.Team].Limit
		after := used[sp.Team].Plus(sp.Request, int64(at))
		waits := t.accepted && t.told == "" && !t.cancelAsk && !t.mistake && w.allDone(t) && there[id].sum()+int64(len(t.done)) < int64(sp.TaskCount) &&
			(sp.Shape != domain.Gang || there[id].sum() == 0) && (lim.GPU == 0 || after.GPU <= lim.GPU) && (lim.CPU == 0 || after.CPU <= lim.CPU)
		if !waits {
			delete(w.room, id)
			continue
		}
		if w.room[id] == nil {
			w.room[id] = map[string]time.Duration{}
		}
		long := zoneCount{}
		for _, k := range w.workers {
			n := k.roomOn(sp)
			since, was := w.room[id][k.name]
			switch {
			case n == 0:
				delete(w.room[id], k.name)
			case !was:
				w.room[id][k.name] = w.Now
			case w.Now-max(since, w.calm) > 90*time.Second:
				long[k.zone] += n
			}
		}
		if long.usable(sp, there[id]) >= int64(at) && !t.reported(w, "left_waiting") {
			w.broke("left_waiting", "%s waits beside room for it", id)
		}
	}
}

// zoneCount counts tasks, or room for tasks, by zone.
type zoneCount map[string]int64

func (z zoneCount) sum() (n int64) {
	for _, k := range z {
		n += k
	}
	return n
}

// usable is how much of the room a job's zone rule lets it use, given where its tasks are.
func (z zoneCount) usable(sp *domain.JobSpec, there zoneCount) (n int64) {
	if !sp.OneZone && !sp.Spread {
		return z.sum()
	}
	for zone, room := range z {
		switch {
		case sp.Spread:
			n += min(room, int64(sp.TaskCount+1)/2-there[zone])
		case there.sum() == there[zone]: // none elsewhere
			n = max(n, room)
		}
	}
	return n
}

// checkServed: at the end of a day at least half of a class, of a team and of a
// class's largest jobs has been served.
func (w *Cluster) checkServed() {
	type share struct{ served, all int }
	by := map[string]*share{}
	largest := map[string]int{}
	each := func(f func(id string, t *truth)) {
		for _, id := range w.ids() {
			if t := w.jobs[id]; t.accepted && !t.cancelAsk && !w.before(t, func(n *truth) bool { return n.cancelAsk }) {
				f(id, t)
			}
		}
	}
	each(func(_ string, t *truth) { largest[t.spec.Class] = max(largest[t.spec.Class], t.spec.TaskCount) })
	each(func(_ string, t *truth) {
		keys := []string{"class " + t.spec.Class, "team " + t.spec.Team}
		if 2*t.spec.TaskCount > largest[t.spec.Class] {
			keys = append(keys, "largest of class "+t.spec.Class)
		}
		for _, k := range keys {
			if by[k] == nil {
				by[k] = &share{}
			}
			by[k].all++
			if t.told == "done" || t.spec.Shape == domain.Service && t.begun {
				by[k].served++
			}
		}
	})
	for _, k := range sorted(by) {
		if x := by[k]; 2*x.served < x.all {
			w.broke("unserved", "%d of %d of %s", x.served, x.all, k)
		}
	}
}

func sorted[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	sort.Strings(l)
	return l
}
