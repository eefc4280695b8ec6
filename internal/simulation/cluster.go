// Package simulation is a deterministic world for tests: state service, cloud,
// workers, users and a network that delays, cuts and holds back, all in
// virtual time round real cores. It checks the protocol's rules as it goes.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"

	"brassglade/internal/domain"
)

type action struct {
	at  time.Duration
	seq int
	f   func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	o := *a
	x := o[len(o)-1]
	*a = o[:len(o)-1]
	return x
}

// Cluster is a simulated deployment.
type Cluster struct {
	Now    time.Duration
	Trace  []string // what happened, for people
	Broken []string // rules that were broken

	rng               *rand.Rand
	set               scheduler.Settings
	queue             agenda
	seq               int
	nodes             []*node
	st                *service
	cl                *provider
	workers           []*worker
	jobs              map[string]*truth
	byName            map[string]*worker
	fill              int               // machines a zone and kind that can be rented
	marked            []string          // machines that nodes gave up, and why
	smaller           int               // values that were brought to their new size
	fed               int               // jobs that tests made
	cuts              map[string]string // "a|b" -> drop or hold
	held              map[string][]func()
	zoneCut, zoneMode string // a zone cut off from everything, and how
	zoneHeld          []func()
	calm              time.Duration // when the last trouble so far is over
	blind             bool          // tests of the checker: troubles are no excuse
	opsNow            int           // changes a transaction may have until the limit falls; 0: as set
	old               bool          // all nodes begin as the version before
	spell             map[string]spell
	met               map[string]int                      // what really came about, so that tests can tell that troubles met
	kept              []domain.Heartbeat                  // old reports, kept for the next leader
	leader            string                              // as the state service has it
	room              map[string]map[string]time.Duration // since when a job waits beside room on a machine

	// onEffect, if set, sees all that leaves the cores, as it leaves them.
	onEffect func(*node, scheduler.Effect)

	// Benchmarks only: the processor time of the controllers' steps.
	timed       bool
	stepTime    time.Duration
	longestStep time.Duration
}

// spell is a trouble that lasts for a while and strikes at a share.
type spell struct {
	till  time.Duration
	share float64
	by    time.Duration
}

// strikes tells whether a trouble is on and chance wills it.
func (w *Cluster) strikes(name string) bool {
	s, on := w.spell[name]
	return on && w.Now < s.till && (s.share >= 1 || w.rng.Float64() < s.share)
}

// came counts something that troubles brought about.
func (w *Cluster) came(what string) {
	w.met[what]++
}

// truth is what really became of a job.
type truth struct {
	spec       domain.JobSpec
	run        time.Duration
	done       map[int]bool
	accepted   bool
	asked      bool          // submitted by a user
	cancelAsk  bool          // its user asked to cancel it
	cancelAt   time.Duration // when told; < 0: not
	told       string        // final state told
	acceptedAt time.Duration
	answered   time.Duration // when a question about it was last answered
	begun      bool          // one of its tasks ran
	toldAt     time.Duration
	wrong      bool          // submitted wrongly on purpose
	mistake    bool          // its tasks fail on every machine
	readyAt    time.Duration // when all that it awaits was done; < 0: not yet
}

// allDone tells whether all that a job awaits is done.
func (w *Cluster) allDone(t *truth) bool {
	for _, id := range t.spec.Dependencies {
		if n := w.jobs[id]; n == nil || len(n.done) < n.spec.TaskCount {
			return false
		}
	}
	return true
}

// before calls f for every job that must be done before one, until f says so.
func (w *Cluster) before(t *truth, f func(*truth) bool) bool {
	seen := map[string]bool{}
	work := append([]string(nil), t.spec.Dependencies...)
	for len(work) > 0 {
		id := work[len(work)-1]
		work = work[:len(work)-1]
		n := w.jobs[id]
		if n == nil || seen[id] {
			continue
		}
		if seen[id] = true; f(n) {
			return true
		}
		work = append(work, n.spec.Dependencies...)
	}
	return false
}

// Settings of a small deployment with three controllers and two teams.
func Settings() scheduler.Settings {
	return scheduler.Settings{
		Nodes: []string{"c-0", "c-1", "c-2"}, Zones: []string{"a", "b"},
		Teams: map[string]domain.Quota{
			"red":  {Guarantee: domain.Resources{GPU: 8000}, Limit: domain.Resources{GPU: 12000}},
			"blue": {Guarantee: domain.Resources{GPU: 8000}, Limit: domain.Resources{GPU: 40000}},
		},
		HeartbeatInterval: 3 * time.Second, WorkerLease: 20 * time.Second, CancelWithin: 40 * time.Second, GangPeerWait: 5 * time.Second,
		FenceAge: tuning.FenceAge, ValueLimit: 4096, TransactionLimit: 8, ListLag: 4 * time.Second,
		StartWithin: map[string]float64{}, FinishWithin: map[string][]float64{}, SpareMachines: 0, Learn: true,
	}
}

// New returns a world whose nodes start at time 0.
func New(seed uint64, set scheduler.Settings) *Cluster { return newWorld(seed, set, 0, false) }

func newWorld(seed uint64, set scheduler.Settings, opsNow int, old bool) *Cluster {
	w := &Cluster{
		opsNow: opsNow, old: old,
		rng: rand.New(rand.NewPCG(seed, 7)), set: set, jobs: map[string]*truth{},
		cuts: map[string]string{}, held: map[string][]func(){}, byName: map[string]*worker{}, fill: 5,
		spell: map[string]spell{}, met: map[string]int{}, room: map[string]map[string]time.Duration{},
	}
	w.st = newService(w)
	w.cl = &provider{w: w, hires: map[string][]string{}, up: true}
	for i, name := range set.Nodes {
		n := &node{w: w, name: name, drift: 1 + 0.0005*float64(i-1), old: old}
		w.nodes = append(w.nodes, n)
		n.boot()
	}
	return w
}

func (w *Cluster) log(format string, a ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%7.2f ", w.Now.Seconds())+fmt.Sprintf(format, a...))
}

func (w *Cluster) broke(rule, format string, a ...any) {
	s := rule + ": " + fmt.Sprintf(format, a...)
	w.Broken = append(w.Broken, s)
	w.log("BROKEN %s", s)
}

func (w *Cluster) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, action{w.Now + d, w.seq, f})
}

// Run plays until the given time.
func (w *Cluster) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		a := heap.Pop(&w.queue).(action)
		w.Now = a.at
		a.f()
	}
	w.Now = until
}

func pair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

// send delivers after a little while, unless a cut drops it or holds it back.
func (w *Cluster) send(from, to string, f func()) {
	if w.zoneCut != "" && w.inZone(from) != w.inZone(to) {
		if w.zoneMode == "hold" {
			w.zoneHeld = append(w.zoneHeld, f)
		}
		return
	}
	switch w.cuts[pair(from, to)] {
	case "drop":
		return
	case "hold":
		k := pair(from, to)
		w.held[k] = append(w.held[k], f)
		return
	}
	w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, f)
}

// call is a request with a time limit; done gets nil when it passes.
func (w *Cluster) call(from, to string, limit time.Duration, exec func(reply func(any)), done func(any)) {
	over := false
	w.send(from, to, func() {
		exec(func(r any) {
			w.send(to, from, func() {
				if !over {
					over = true
					done(r)
				}
			})
		})
	})
	w.after(limit, func() {
		if !over {
			over = true
			done(nil)
		}
	})
}

func (w *Cluster) cut(a, b, mode string, d time.Duration) {
	k := pair(a, b)
	w.cuts[k] = mode
	w.after(d, func() {
		delete(w.cuts, k)
		for _, f := range w.held[k] {
			w.after(time.Millisecond, f)
		}
		delete(w.held, k)
	})
}

// cutZone cuts the nodes and machines of a zone from everything outside it.
func (w *Cluster) cutZone(zone, mode string, d time.Duration) {
	w.log("zone %s is cut off (%s)", zone, mode)
	w.zoneCut, w.zoneMode = zone, mode
	w.calm = max(w.calm, w.Now+d)
	w.after(d, func() {
		w.zoneCut = ""
		w.log("zone %s is back", zone)
		for _, f := range w.zoneHeld {
			w.after(time.Millisecond, f)
		}
		w.zoneHeld = nil
	})
}

// inZone tells whether a name is a node or machine of the zone that is cut off.
func (w *Cluster) inZone(name string) bool {
	if k := w.byName[name]; k != nil {
		return k.zone == w.zoneCut
	}
	return w.set.ZoneOf[name] == w.zoneCut
}

// wallStart is the time of day at which worlds begin, ms.
const wallStart = 1_800_000_000_000

// node is one controller process round a real core.
type node struct {
	w          *Cluster
	name       string
	controller *scheduler.Controller
	gen        int
	born       time.Duration
	drift      float64
	req        uint64
	wait       map[uint64]func(scheduler.Effect)
	since      uint64
	old        bool // runs the version before, as far as that concerns the switch
	// A frozen process stands still in the middle of a step, while its clock goes
	// on: what it decided goes out when it wakes, and then all it did not hear.
	froze  time.Duration // until then
	effs   []scheduler.Effect
	events []scheduler.Event
}

func (n *node) now() time.Duration {
	return time.Duration(float64(n.w.Now-n.born) * n.drift)
}

func (n *node) boot() {
	n.gen++
	n.born = n.w.Now
	s := n.w.set
	s.Node, s.Seed = n.name, uint64(n.gen)
	s.WallClockMS = wallStart + n.w.Now.Milliseconds()
	if n.old {
		s.PreviousFormat, s.ValueLimit, s.TransactionLimit = true, max(s.ValueLimit, s.ValueLimitNow), max(s.TransactionLimit, n.w.opsNow)
	}
	n.controller = scheduler.New(s, fmt.Sprintf("%s.%d", n.name, n.gen))
	n.wait = map[uint64]func(scheduler.Effect){}
	g := n.gen
	var tick func()
	tick = func() {
		if n.gen == g && n.controller != nil {
			n.step(scheduler.Tick{})
			n.w.after(tuning.Tick, tick)
		}
	}
	n.w.after(time.Duration(n.w.rng.IntN(100))*time.Millisecond, tick)
	n.snapshot(g)
}

func (n *node) crash(back time.Duration) {
	if n.controller == nil {
		return
	}
	n.w.log("%s ends", n.name)
	n.controller, n.wait = nil, nil
	n.froze, n.effs, n.events = 0, nil, nil
	n.gen++
	n.w.after(back, func() {
		if n.controller == nil {
			n.w.log("%s starts", n.name)
			n.boot()
		}
	})
}

func (n *node) step(ev scheduler.Event) {
	if n.controller == nil {
		return
	}
	if n.w.Now < n.froze && len(n.effs) > 0 {
		n.events = append(n.events, ev)
		return
	}
	l := n.timedStep(ev)
	if n.w.Now < n.froze {
		n.effs = l
		return
	}
	for _, e := range l {
		n.carry(e)
	}
}

// timedStep is a step of the core, timed where a benchmark asks for it.
func (n *node) timedStep(ev scheduler.Event) []scheduler.Effect {
	if !n.w.timed {
		return n.controller.Step(n.now(), ev)
	}
	start := time.Now()
	effects := n.controller.Step(n.now(), ev)
	took := time.Since(start)
	n.w.stepTime += took
	n.w.longestStep = max(n.w.longestStep, took)
	return effects
}

// freeze stops the process at its next step that does something.
func (n *node) freeze(d time.Duration) {
	if n.controller == nil {
		return
	}
	n.w.log("%s stands still, its clock goes on", n.name)
	n.froze = n.w.Now + d
	g := n.gen
	n.w.after(d, func() {
		if n.gen != g {
			return
		}
		n.w.log("%s goes on, %d events late", n.name, len(n.events))
		n.w.met["woken"]++
		effs, evs := n.effs, n.events
		n.effs, n.events = nil, nil
		for _, e := range effs {
			if x, ok := e.(scheduler.HeartbeatReply); ok && x.Status == 200 {
				n.w.came("answer decided before a freeze")
			}
			n.carry(e)
		}
		for _, e := range evs {
			n.step(e)
		}
	})
}

// ask puts a request to the core; the answer comes through the effect.
func (n *node) ask(mk func(uint64) scheduler.Event, done func(scheduler.Effect)) {
	if n.controller == nil {
		return
	}
	n.req++
	n.wait[n.req] = done
	n.step(mk(n.req))
}

func (n *node) answer(req uint64, e scheduler.Effect) {
	if f := n.wait[req]; f != nil {
		delete(n.wait, req)
		f(e)
	}
}

// back delivers an answer if the process is still the same.
func (n *node) back(g int) func(scheduler.Event) {
	return func(e scheduler.Event) {
		if n.gen == g {
			n.step(e)
		}
	}
}

func (n *node) carry(e scheduler.Effect) {
	if n.w.onEffect != nil {
		n.w.onEffect(n, e)
	}
	w, back := n.w, n.back(n.gen)
	switch x := e.(type) {
	case scheduler.HeartbeatReply:
		n.answer(x.RequestID, x)
	case scheduler.UserReply:
		n.answer(x.RequestID, x)
	case scheduler.ConfirmView:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.confirm(n.name, x)) }, func(r any) {
			ev, _ := r.(scheduler.ConfirmationAnswered)
			back(ev)
		})
	case scheduler.Commit:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.st.perform(n, x, r) }, func(r any) {
			ev, ok := r.(scheduler.CommitAnswered)
			if !ok {
				ev = scheduler.CommitAnswered{ID: x.ID, Result: domain.InDoubt}
			}
			back(ev)
		})
	case scheduler.ReadKeys:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.read(n.name, x)) }, func(r any) {
			ev, ok := r.(scheduler.KeysRead)
			if !ok {
				ev = scheduler.KeysRead{ID: x.ID}
			}
			back(ev)
		})
	case scheduler.GrantLease:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.grant(n.name, x.TTL)) }, func(r any) {
			ev, _ := r.(scheduler.LeaseGranted)
			back(ev)
		})
	case scheduler.RenewLease:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.renew(n.name, x.LeaseID)) }, func(r any) {
			ev, _ := r.(scheduler.LeaseRenewalAnswered)
			back(ev)
		})
	case scheduler.ListMachineTypes:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.flavors()) }, func(r any) {
			ev, _ := r.(scheduler.MachineTypesListed)
			back(ev)
		})
	case scheduler.ListInstances:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.list()) }, func(r any) {
			ev, _ := r.(scheduler.InstancesListed)
			back(ev)
		})
	case scheduler.RentMachines:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.rent(x)) }, func(r any) {
			ev, ok := r.(scheduler.RentalAnswered)
			if !ok {
				ev = scheduler.RentalAnswered{RentalID: x.RentalID}
			}
			back(ev)
		})
	case scheduler.ReturnMachines:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.giveBack(x.Names)) }, func(r any) {
			ok, _ := r.(bool)
			back(scheduler.ReturnAnswered{Names: x.Names, OK: ok})
		})
	case scheduler.SendPeerMessage:
		for _, o := range w.nodes {
			if o.name == x.To {
				w.send(n.name, o.name, func() { o.step(scheduler.PeerMessageReceived{From: n.name, Message: x.Message}) })
			}
		}
	case scheduler.SendCommands:
		k := w.worker(x.Machine)
		if k == nil {
			return
		}
		w.call(n.name, k.name, tuning.DirectCommandTimeout, func(r func(any)) { k.direct(x, r) }, func(r any) {
			ev := scheduler.CommandsAnswered{Machine: x.Machine}
			if rep, ok := r.(domain.Heartbeat); ok {
				ev.Heartbeat = &rep
			}
			back(ev)
		})
	case scheduler.LogLine:
		if x.Message == "value made smaller" {
			w.smaller++
		}
		if x.Message == "format on" && w.old {
			w.log("%s reads that all know the new format", n.name)
		}
		if x.Message == "machine marked" {
			w.marked = append(w.marked, fmt.Sprint(x.Args...))
		}
		if x.Message == "view" {
			w.log("%s sees view %v", n.name, x.Args)
		}
	}
}

func (n *node) snapshot(g int) {
	if n.gen != g {
		return
	}
	n.w.call(n.name, "state", 2*tuning.StateTimeout, func(r func(any)) { r(n.w.st.snapshot(n.name)) }, func(r any) {
		if n.gen != g {
			return
		}
		ev, ok := r.(scheduler.SnapshotLoaded)
		if !ok {
			n.w.after(tuning.ConfirmationRetry, func() { n.snapshot(g) })
			return
		}
		n.since = ev.Revision
		n.step(ev)
		n.watch(g)
	})
}

func (n *node) watch(g int) {
	if n.gen != g {
		return
	}
	sent := n.now()
	n.w.call(n.name, "state", tuning.WatchWait+tuning.StateTimeout, func(r func(any)) { n.w.st.watch(n.name, n.since, r) }, func(r any) {
		if n.gen != g {
			return
		}
		pause := tuning.ConfirmationRetry
		if ev, ok := r.(scheduler.WatchAdvanced); ok {
			n.since = max(n.since, ev.Revision)
			ev.Sent = sent
			n.step(ev)
			pause = tuning.WatchGap
		}
		n.w.after(pause, func() { n.watch(g) })
	})
}

func (w *Cluster) worker(name string) *worker {
	return w.byName[name]
}

// Submit sends a job and repeats it until it is accepted; then polls.
func (w *Cluster) Submit(s domain.JobSpec, run time.Duration) {
	t := w.jobs[s.ID]
	if t == nil {
		t = &truth{spec: s, run: run, done: map[int]bool{}, cancelAt: -1, readyAt: -1}
		w.jobs[s.ID] = t
	}
	for _, id := range s.Dependencies { // users name only what was accepted
		if n := w.jobs[id]; n == nil || !n.accepted {
			w.after(100*time.Millisecond, func() { w.Submit(s, run) })
			return
		}
	}
	t.asked = true
	w.user(func(n *node, done func(scheduler.Effect)) {
		sp := s
		n.ask(func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: s.ID, Spec: &sp} }, done)
	}, func(u scheduler.UserReply, asked time.Duration) {
		w.judge(s.ID, u, asked)
		if u.Status == 200 || u.Status == 201 {
			w.log("%s accepted", s.ID)
			w.poll(s.ID)
			return
		}
		w.after(time.Second, func() { w.Submit(s, run) })
	})
}

// user sends a request to a live node through the load balancer.
func (w *Cluster) user(ask func(*node, func(scheduler.Effect)), done func(scheduler.UserReply, time.Duration)) {
	asked := w.Now
	var live []*node
	for _, n := range w.nodes {
		if n.controller != nil {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		done(scheduler.UserReply{}, asked)
		return
	}
	w.userAt(live[w.rng.IntN(len(live))], ask, done)
}

// userAt is the same at one node.
func (w *Cluster) userAt(n *node, ask func(*node, func(scheduler.Effect)), done func(scheduler.UserReply, time.Duration)) {
	asked := w.Now
	w.call("users", n.name, 2*time.Second, func(r func(any)) {
		ask(n, func(e scheduler.Effect) { r(e) })
	}, func(r any) {
		u, _ := r.(scheduler.UserReply)
		done(u, asked)
	})
}

func (w *Cluster) poll(id string) {
	w.user(func(n *node, done func(scheduler.Effect)) {
		n.ask(func(r uint64) scheduler.Event { return scheduler.JobQueried{RequestID: r, ID: id} }, done)
	}, func(u scheduler.UserReply, asked time.Duration) {
		w.judge(id, u, asked)
		pause := 5 * time.Second
		if w.strikes("storm") {
			pause /= 10
			w.came(fmt.Sprintf("poll answered %d", u.Status))
		}
		if t := w.jobs[id]; t.told == "" {
			w.after(pause, func() { w.poll(id) })
		}
	})
}

// Abort cancels a job, repeating until told that it is over.
func (w *Cluster) Abort(id string) {
	t := w.jobs[id]
	t.cancelAsk = true
	w.user(func(n *node, done func(scheduler.Effect)) {
		n.ask(func(r uint64) scheduler.Event { return scheduler.JobCancelled{RequestID: r, ID: id} }, done)
	}, func(u scheduler.UserReply, asked time.Duration) {
		w.judge(id, u, asked)
		if t.told == "" {
			w.after(time.Second, func() { w.Abort(id) })
		}
	})
}

// judge checks an answer against the rules that concern users. A request that was
// under way when its user was told otherwise may still bring the older state.
func (w *Cluster) judge(id string, u scheduler.UserReply, asked time.Duration) {
	t := w.jobs[id]
	switch u.Status {
	case 404, 400, 422:
		if t.accepted && asked >= t.acceptedAt {
			w.broke("forgotten", "%s got %d", id, u.Status)
		}
		if u.Status != 404 && !t.wrong {
			w.broke("refused", "%s got %d: %s", id, u.Status, u.Reason)
		}
		return
	case 200, 201:
	default:
		return
	}
	if !t.asked {
		w.broke("invented", "%s", id)
	}
	if t.wrong {
		w.broke("taken", "%s can't run, yet it got %d", id, u.Status)
	}
	if !t.accepted {
		t.acceptedAt = w.Now
		defer w.look(id)
	}
	t.accepted, t.answered = true, w.Now
	if t.told != "" && u.State != t.told && asked >= t.toldAt {
		w.broke("went_back", "%s: %s after %s", id, u.State, t.told)
	}
	switch u.State {
	case "done":
		if len(t.done) < t.spec.TaskCount {
			w.broke("not_done", "%s: %d of %d", id, len(t.done), t.spec.TaskCount)
		}
	case "cancelled":
		if !t.cancelAsk && !w.before(t, func(n *truth) bool { return n.cancelAsk }) {
			w.broke("went_back", "%s cancelled though nobody asked", id)
		}
		if t.cancelAt < 0 {
			t.cancelAt = w.Now
		}
	default:
		w.before(t, func(n *truth) bool {
			late := n.cancelAt >= 0 && w.Now-n.cancelAt > w.set.CancelWithin
			if late && !t.reported(w, "orphaned") {
				w.broke("orphaned", "%s is %s though %s is cancelled", id, u.State, n.spec.ID)
			}
			return late
		})
		return
	}
	if t.told == "" {
		t.told, t.toldAt = u.State, w.Now
		w.log("%s is told %s", id, u.State)
		w.look(id)
	}
}

// Unfinished lists accepted jobs that are not over.
func (w *Cluster) Unfinished() []string {
	var l []string
	for id, t := range w.jobs {
		if t.accepted && t.told == "" && t.spec.Shape != domain.Service {
			l = append(l, id)
		}
	}
	sort.Strings(l)
	return l
}

// Starts counts task starts in the trace.
func (w *Cluster) Starts() int {
	n := 0
	for _, l := range w.Trace {
		if strings.Contains(l, " runs on ") {
			n++
		}
	}
	return n
}

// checkPlaces checks quota and cancelled work; called whenever a task comes on
// a machine and every second.
func (w *Cluster) checkPlaces() {
	used := map[string]domain.Resources{}
	for _, k := range w.workers {
		if k.gone {
			continue
		}
		for _, id := range k.ids() {
			x := k.tasks[id]
			if !x.on() {
				continue
			}
			t := w.jobs[id.Job]
			used[t.spec.Team] = used[t.spec.Team].Plus(t.spec.Request, 1)
			if t.cancelAt >= 0 && w.Now-t.cancelAt > w.set.CancelWithin && !t.reported(w, "ran_cancelled") {
				w.broke("ran_cancelled", "%v on %s", id, k.name)
			}
		}
	}
	for _, team := range []string{"red", "blue"} {
		lim := w.set.Teams[team].Limit
		if lim.GPU > 0 && used[team].GPU == lim.GPU {
			w.came("a team at its limit")
		}
		if lim.GPU > 0 && used[team].GPU > lim.GPU {
			w.broke("quota", "%s uses %d of %d", team, used[team].GPU, lim.GPU)
		}
	}
}

// checkKnown: once all troubles are over, a job about which no question is
// answered for 75 s is forgotten, and each must begin within four minutes.
func (w *Cluster) checkKnown() {
	for _, id := range w.Unfinished() {
		t := w.jobs[id]
		since := w.Now - max(t.answered, w.calm)
		if since > 75*time.Second && !t.reported(w, "forgotten") {
			w.broke("forgotten", "%s: no answer for %.0f s", id, since.Seconds())
		}
		if t.readyAt < 0 && w.allDone(t) {
			t.readyAt = w.Now
		}
		if !t.begun && !t.cancelAsk && t.readyAt >= 0 && w.Now-max(t.acceptedAt, t.readyAt, w.calm) > 4*time.Minute && !t.reported(w, "starved") {
			w.broke("starved", "%s has not begun", id)
		}
	}
}

func (t *truth) reported(w *Cluster, rule string) bool {
	return slices.ContainsFunc(w.Broken, func(s string) bool {
		return strings.HasPrefix(s, rule) && strings.Contains(s, t.spec.ID)
	})
}
