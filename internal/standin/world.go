// Package standin is a deterministic world for tests: state service, cloud,
// workers, users and a network that delays, cuts and holds back, all in
// virtual time round real cores. It checks the protocol's rules as it goes.
package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/core"
	"brassglade/internal/tuning"
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

// World is a simulated deployment.
type World struct {
	Now    time.Duration
	Trace  []string // what happened, for people
	Broken []string // rules that were broken

	rng               *rand.Rand
	set               core.Settings
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
	kept              []core.Report                       // old reports, kept for the next leader
	leader            string                              // as the state service has it
	room              map[string]map[string]time.Duration // since when a job waits beside room on a machine

	// onEffect, if set, sees all that leaves the cores, as it leaves them.
	onEffect func(*node, core.Effect)

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
func (w *World) strikes(name string) bool {
	s, on := w.spell[name]
	return on && w.Now < s.till && (s.share >= 1 || w.rng.Float64() < s.share)
}

// came counts something that troubles brought about.
func (w *World) came(what string) {
	w.met[what]++
}

// truth is what really became of a job.
type truth struct {
	spec       core.Spec
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
func (w *World) allDone(t *truth) bool {
	for _, id := range t.spec.Needs {
		if n := w.jobs[id]; n == nil || len(n.done) < n.spec.N {
			return false
		}
	}
	return true
}

// before calls f for every job that must be done before one, until f says so.
func (w *World) before(t *truth, f func(*truth) bool) bool {
	seen := map[string]bool{}
	work := append([]string(nil), t.spec.Needs...)
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
		work = append(work, n.spec.Needs...)
	}
	return false
}

// Settings of a small deployment with three controllers and two teams.
func Settings() core.Settings {
	return core.Settings{
		Nodes: []string{"c-0", "c-1", "c-2"}, Zones: []string{"a", "b"},
		Teams: map[string]core.Limits{
			"red":  {Guar: core.Res{GPU: 8000}, Max: core.Res{GPU: 12000}},
			"blue": {Guar: core.Res{GPU: 8000}, Max: core.Res{GPU: 40000}},
		},
		Report: 3 * time.Second, Lease: 20 * time.Second, Cancel: 40 * time.Second, Peer: 5 * time.Second,
		Fence: tuning.Fence, ValueB: 4096, TxnOps: 8, ListLag: 4 * time.Second,
		Wait: map[string]float64{}, Goals: map[string][]float64{}, Spare: 0, Learn: true,
	}
}

// New returns a world whose nodes start at time 0.
func New(seed uint64, set core.Settings) *World { return newWorld(seed, set, 0, false) }

func newWorld(seed uint64, set core.Settings, opsNow int, old bool) *World {
	w := &World{
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

func (w *World) log(format string, a ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%7.2f ", w.Now.Seconds())+fmt.Sprintf(format, a...))
}

func (w *World) broke(rule, format string, a ...any) {
	s := rule + ": " + fmt.Sprintf(format, a...)
	w.Broken = append(w.Broken, s)
	w.log("BROKEN %s", s)
}

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, action{w.Now + d, w.seq, f})
}

// Run plays until the given time.
func (w *World) Run(until time.Duration) {
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
func (w *World) send(from, to string, f func()) {
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
func (w *World) call(from, to string, limit time.Duration, exec func(reply func(any)), done func(any)) {
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

func (w *World) cut(a, b, mode string, d time.Duration) {
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
func (w *World) cutZone(zone, mode string, d time.Duration) {
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
func (w *World) inZone(name string) bool {
	if k := w.byName[name]; k != nil {
		return k.zone == w.zoneCut
	}
	return w.set.ZoneOf[name] == w.zoneCut
}

// wallStart is the time of day at which worlds begin, ms.
const wallStart = 1_800_000_000_000

// node is one controller process round a real core.
type node struct {
	w     *World
	name  string
	core  *core.Core
	gen   int
	born  time.Duration
	drift float64
	req   uint64
	wait  map[uint64]func(core.Effect)
	since uint64
	old   bool // runs the version before, as far as that concerns the switch
	// A frozen process stands still in the middle of a step, while its clock goes
	// on: what it decided goes out when it wakes, and then all it did not hear.
	froze  time.Duration // until then
	effs   []core.Effect
	events []core.Event
}

func (n *node) now() time.Duration {
	return time.Duration(float64(n.w.Now-n.born) * n.drift)
}

func (n *node) boot() {
	n.gen++
	n.born = n.w.Now
	s := n.w.set
	s.Node, s.Seed = n.name, uint64(n.gen)
	s.Wall = wallStart + n.w.Now.Milliseconds()
	if n.old {
		s.AsBefore, s.ValueB, s.TxnOps = true, max(s.ValueB, s.ValueNow), max(s.TxnOps, n.w.opsNow)
	}
	n.core = core.New(s, fmt.Sprintf("%s.%d", n.name, n.gen))
	n.wait = map[uint64]func(core.Effect){}
	g := n.gen
	var tick func()
	tick = func() {
		if n.gen == g && n.core != nil {
			n.step(core.EvTick{})
			n.w.after(tuning.Tick, tick)
		}
	}
	n.w.after(time.Duration(n.w.rng.IntN(100))*time.Millisecond, tick)
	n.snapshot(g)
}

func (n *node) crash(back time.Duration) {
	if n.core == nil {
		return
	}
	n.w.log("%s ends", n.name)
	n.core, n.wait = nil, nil
	n.froze, n.effs, n.events = 0, nil, nil
	n.gen++
	n.w.after(back, func() {
		if n.core == nil {
			n.w.log("%s starts", n.name)
			n.boot()
		}
	})
}

func (n *node) step(ev core.Event) {
	if n.core == nil {
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
func (n *node) timedStep(ev core.Event) []core.Effect {
	if !n.w.timed {
		return n.core.Step(n.now(), ev)
	}
	start := time.Now()
	effects := n.core.Step(n.now(), ev)
	took := time.Since(start)
	n.w.stepTime += took
	n.w.longestStep = max(n.w.longestStep, took)
	return effects
}

// freeze stops the process at its next step that does something.
func (n *node) freeze(d time.Duration) {
	if n.core == nil {
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
			if x, ok := e.(core.EfCheckin); ok && x.Status == 200 {
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
func (n *node) ask(mk func(uint64) core.Event, done func(core.Effect)) {
	if n.core == nil {
		return
	}
	n.req++
	n.wait[n.req] = done
	n.step(mk(n.req))
}

func (n *node) answer(req uint64, e core.Effect) {
	if f := n.wait[req]; f != nil {
		delete(n.wait, req)
		f(e)
	}
}

// back delivers an answer if the process is still the same.
func (n *node) back(g int) func(core.Event) {
	return func(e core.Event) {
		if n.gen == g {
			n.step(e)
		}
	}
}

func (n *node) carry(e core.Effect) {
	if n.w.onEffect != nil {
		n.w.onEffect(n, e)
	}
	w, back := n.w, n.back(n.gen)
	switch x := e.(type) {
	case core.EfCheckin:
		n.answer(x.Req, x)
	case core.EfUser:
		n.answer(x.Req, x)
	case core.EfConfirm:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.confirm(n.name, x)) }, func(r any) {
			ev, _ := r.(core.EvConfirm)
			back(ev)
		})
	case core.EfCommit:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.st.perform(n, x, r) }, func(r any) {
			ev, ok := r.(core.EvCommit)
			if !ok {
				ev = core.EvCommit{ID: x.ID, Result: core.Unknown}
			}
			back(ev)
		})
	case core.EfRead:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.read(n.name, x)) }, func(r any) {
			ev, ok := r.(core.EvRead)
			if !ok {
				ev = core.EvRead{ID: x.ID}
			}
			back(ev)
		})
	case core.EfGrant:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.grant(n.name, x.Life)) }, func(r any) {
			ev, _ := r.(core.EvGrant)
			back(ev)
		})
	case core.EfRenew:
		w.call(n.name, "state", tuning.StateTimeout, func(r func(any)) { w.slowly(r, w.st.renew(n.name, x.Permit)) }, func(r any) {
			ev, _ := r.(core.EvRenew)
			back(ev)
		})
	case core.EfFlavors:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.flavors()) }, func(r any) {
			ev, _ := r.(core.EvFlavors)
			back(ev)
		})
	case core.EfList:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.list()) }, func(r any) {
			ev, _ := r.(core.EvList)
			back(ev)
		})
	case core.EfRent:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.rent(x)) }, func(r any) {
			ev, ok := r.(core.EvRented)
			if !ok {
				ev = core.EvRented{Hire: x.Hire}
			}
			back(ev)
		})
	case core.EfReturn:
		w.call(n.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(w.cl.giveBack(x.Names)) }, func(r any) {
			ok, _ := r.(bool)
			back(core.EvReturned{Names: x.Names, OK: ok})
		})
	case core.EfPeer:
		for _, o := range w.nodes {
			if o.name == x.To {
				w.send(n.name, o.name, func() { o.step(core.EvPeer{From: n.name, Msg: x.Msg}) })
			}
		}
	case core.EfDirect:
		k := w.worker(x.Machine)
		if k == nil {
			return
		}
		w.call(n.name, k.name, tuning.DirectTimeout, func(r func(any)) { k.direct(x, r) }, func(r any) {
			ev := core.EvDirect{Machine: x.Machine}
			if rep, ok := r.(core.Report); ok {
				ev.R = &rep
			}
			back(ev)
		})
	case core.EfLog:
		if x.Msg == "value made smaller" {
			w.smaller++
		}
		if x.Msg == "format on" && w.old {
			w.log("%s reads that all know the new format", n.name)
		}
		if x.Msg == "machine marked" {
			w.marked = append(w.marked, fmt.Sprint(x.Args...))
		}
		if x.Msg == "view" {
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
		ev, ok := r.(core.EvSnapshot)
		if !ok {
			n.w.after(tuning.ConfirmRetry, func() { n.snapshot(g) })
			return
		}
		n.since = ev.Ledger
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
		pause := tuning.ConfirmRetry
		if ev, ok := r.(core.EvWatch); ok {
			n.since = max(n.since, ev.Ledger)
			ev.Sent = sent
			n.step(ev)
			pause = tuning.WatchGap
		}
		n.w.after(pause, func() { n.watch(g) })
	})
}

func (w *World) worker(name string) *worker {
	return w.byName[name]
}

// Submit sends a job and repeats it until it is accepted; then polls.
func (w *World) Submit(s core.Spec, run time.Duration) {
	t := w.jobs[s.ID]
	if t == nil {
		t = &truth{spec: s, run: run, done: map[int]bool{}, cancelAt: -1, readyAt: -1}
		w.jobs[s.ID] = t
	}
	for _, id := range s.Needs { // users name only what was accepted
		if n := w.jobs[id]; n == nil || !n.accepted {
			w.after(100*time.Millisecond, func() { w.Submit(s, run) })
			return
		}
	}
	t.asked = true
	w.user(func(n *node, done func(core.Effect)) {
		sp := s
		n.ask(func(r uint64) core.Event { return core.EvSubmit{Req: r, ID: s.ID, Spec: &sp} }, done)
	}, func(u core.EfUser, asked time.Duration) {
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
func (w *World) user(ask func(*node, func(core.Effect)), done func(core.EfUser, time.Duration)) {
	asked := w.Now
	var live []*node
	for _, n := range w.nodes {
		if n.core != nil {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		done(core.EfUser{}, asked)
		return
	}
	w.userAt(live[w.rng.IntN(len(live))], ask, done)
}

// userAt is the same at one node.
func (w *World) userAt(n *node, ask func(*node, func(core.Effect)), done func(core.EfUser, time.Duration)) {
	asked := w.Now
	w.call("users", n.name, 2*time.Second, func(r func(any)) {
		ask(n, func(e core.Effect) { r(e) })
	}, func(r any) {
		u, _ := r.(core.EfUser)
		done(u, asked)
	})
}

func (w *World) poll(id string) {
	w.user(func(n *node, done func(core.Effect)) {
		n.ask(func(r uint64) core.Event { return core.EvPoll{Req: r, ID: id} }, done)
	}, func(u core.EfUser, asked time.Duration) {
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
func (w *World) Abort(id string) {
	t := w.jobs[id]
	t.cancelAsk = true
	w.user(func(n *node, done func(core.Effect)) {
		n.ask(func(r uint64) core.Event { return core.EvAbort{Req: r, ID: id} }, done)
	}, func(u core.EfUser, asked time.Duration) {
		w.judge(id, u, asked)
		if t.told == "" {
			w.after(time.Second, func() { w.Abort(id) })
		}
	})
}

// judge checks an answer against the rules that concern users. A request that was
// under way when its user was told otherwise may still bring the older state.
func (w *World) judge(id string, u core.EfUser, asked time.Duration) {
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
		if len(t.done) < t.spec.N {
			w.broke("not_done", "%s: %d of %d", id, len(t.done), t.spec.N)
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
			late := n.cancelAt >= 0 && w.Now-n.cancelAt > w.set.Cancel
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
func (w *World) Unfinished() []string {
	var l []string
	for id, t := range w.jobs {
		if t.accepted && t.told == "" && t.spec.Shape != core.Service {
			l = append(l, id)
		}
	}
	sort.Strings(l)
	return l
}

// Starts counts task starts in the trace.
func (w *World) Starts() int {
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
func (w *World) checkPlaces() {
	used := map[string]core.Res{}
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
			used[t.spec.Team] = used[t.spec.Team].Plus(t.spec.Need, 1)
			if t.cancelAt >= 0 && w.Now-t.cancelAt > w.set.Cancel && !t.reported(w, "ran_cancelled") {
				w.broke("ran_cancelled", "%v on %s", id, k.name)
			}
		}
	}
	for _, team := range []string{"red", "blue"} {
		lim := w.set.Teams[team].Max
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
func (w *World) checkKnown() {
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

func (t *truth) reported(w *World, rule string) bool {
	return slices.ContainsFunc(w.Broken, func(s string) bool {
		return strings.HasPrefix(s, rule) && strings.Contains(s, t.spec.ID)
	})
}
