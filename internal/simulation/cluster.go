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

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
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

	rng                     *rand.Rand
	settings                scheduler.Settings
	events                  eventQueue
	lastSequence            int
	processes               []*controllerProcess
	state                   *stateService
	cloud                   *cloud
	workers                 []*worker
	jobs                    map[string]*jobRecord
	workersByName           map[string]*worker
	marketCapacity          int               // machines a zone and kind that can be rented
	cordons                 []string          // machines that nodes gave up, and why
	shrunkValues            int               // values that were brought to their new size
	generatedJobs           int               // jobs that tests made
	linkCuts                map[string]string // "a|b" -> drop or hold
	heldOnLink              map[string][]func()
	cutOffZone, zoneCutMode string // a zone cut off from everything, and how
	heldAtZone              []func()
	calmSince               time.Duration // when the last trouble so far is over
	excusesNothing          bool          // tests of the checker: troubles are no excuse
	initialTransactionLimit int           // changes a transaction may have until the limit falls; 0: as set
	startsAsPreviousVersion bool          // all nodes begin as the version before
	troubles                map[string]trouble
	occurrences             map[string]int                      // what really came about, so that tests can tell that troubles met
	keptHeartbeats          []domain.Heartbeat                  // old reports, kept for the next leader
	leader                  string                              // as the state service has it
	roomSince               map[string]map[string]time.Duration // since when a job waits beside room on a machine

	// onEffect, if set, sees all that leaves the cores, as it leaves them.
	onEffect func(*controllerProcess, scheduler.Effect)

	// Benchmarks only: the processor time of the controllers' steps.
	timesSteps  bool
	stepTime    time.Duration
	longestStep time.Duration
}

// spell is a trouble that lasts for a while and strikes at a share.
type trouble struct {
	until time.Duration
	share float64
	delay time.Duration
}

// strikes tells whether a trouble is on and chance wills it.
func (c *Cluster) strikes(name string) bool {
	s, on := c.troubles[name]
	return on && c.Now < s.until && (s.share >= 1 || c.rng.Float64() < s.share)
}

// came counts something that troubles brought about.
func (c *Cluster) occurred(what string) {
	c.occurrences[what]++
}

// truth is what really became of a job.
type jobRecord struct {
	spec            domain.JobSpec
	runtime         time.Duration
	done            map[int]bool
	accepted        bool
	isSubmitted     bool          // submitted by a user
	cancelRequested bool          // its user asked to cancel it
	cancelToldAt    time.Duration // when told; < 0: not
	finalState      string        // final state told
	acceptedAt      time.Duration
	answeredAt      time.Duration // when a question about it was last answered
	hasBegun        bool          // one of its tasks ran
	finalStateAt    time.Duration
	isInvalid       bool          // submitted wrongly on purpose
	failsEverywhere bool          // its tasks fail on every machine
	readyAt         time.Duration // when all that it awaits was done; < 0: not yet
}

// allDone tells whether all that a job awaits is done.
func (c *Cluster) dependenciesDone(job *jobRecord) bool {
	for _, id := range job.spec.Dependencies {
		if earlier := c.jobs[id]; earlier == nil || len(earlier.done) < earlier.spec.TaskCount {
			return false
		}
	}
	return true
}

// before calls f for every job that must be done before one, until f says so.
func (c *Cluster) anyPrerequisite(job *jobRecord, f func(*jobRecord) bool) bool {
	seen := map[string]bool{}
	work := append([]string(nil), job.spec.Dependencies...)
	for len(work) > 0 {
		id := work[len(work)-1]
		work = work[:len(work)-1]
		earlier := c.jobs[id]
		if earlier == nil || seen[id] {
			continue
		}
		if seen[id] = true; f(earlier) {
			return true
		}
		work = append(work, earlier.spec.Dependencies...)
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
func New(seed uint64, settings scheduler.Settings) *Cluster {
	return newCluster(seed, settings, 0, false)
}

func newCluster(seed uint64, settings scheduler.Settings, opsNow int, old bool) *Cluster {
	c := &Cluster{
		initialTransactionLimit: opsNow, startsAsPreviousVersion: old,
		rng: rand.New(rand.NewPCG(seed, 7)), settings: settings, jobs: map[string]*jobRecord{},
		linkCuts: map[string]string{}, heldOnLink: map[string][]func(){}, workersByName: map[string]*worker{}, marketCapacity: 5,
		troubles: map[string]trouble{}, occurrences: map[string]int{}, roomSince: map[string]map[string]time.Duration{},
	}
	c.state = newStateService(c)
	c.cloud = &cloud{cluster: c, rentals: map[string][]string{}, isUp: true}
	for i, name := range settings.Nodes {
		p := &controllerProcess{cluster: c, name: name, clockRate: 1 + 0.0005*float64(i-1), isPreviousVersion: old}
		c.processes = append(c.processes, p)
		p.boot()
	}
	return c
}

func (c *Cluster) log(format string, a ...any) {
	c.Trace = append(c.Trace, fmt.Sprintf("%7.2f ", c.Now.Seconds())+fmt.Sprintf(format, a...))
}

func (c *Cluster) violated(rule, format string, a ...any) {
	s := rule + ": " + fmt.Sprintf(format, a...)
	c.Broken = append(c.Broken, s)
	c.log("BROKEN %s", s)
}

func (c *Cluster) after(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.Now + d, c.lastSequence, f})
}

// Run plays until the given time.
func (c *Cluster) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		a := heap.Pop(&c.events).(event)
		c.Now = a.at
		a.run()
	}
	c.Now = until
}

func pair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

// send delivers after a little while, unless a cut drops it or holds it back.
func (c *Cluster) send(from, to string, f func()) {
	if c.cutOffZone != "" && c.inCutOffZone(from) != c.inCutOffZone(to) {
		if c.zoneCutMode == "hold" {
			c.heldAtZone = append(c.heldAtZone, f)
		}
		return
	}
	switch c.linkCuts[pair(from, to)] {
	case "drop":
		return
	case "hold":
		k := pair(from, to)
		c.heldOnLink[k] = append(c.heldOnLink[k], f)
		return
	}
	c.after(time.Duration(1+c.rng.IntN(5))*time.Millisecond, f)
}

// call is a request with a time limit; done gets nil when it passes.
func (c *Cluster) call(from, to string, limit time.Duration, exec func(reply func(any)), done func(any)) {
	over := false
	c.send(from, to, func() {
		exec(func(r any) {
			c.send(to, from, func() {
				if !over {
					over = true
					done(r)
				}
			})
		})
	})
	c.after(limit, func() {
		if !over {
			over = true
			done(nil)
		}
	})
}

func (c *Cluster) cut(a, b, mode string, d time.Duration) {
	k := pair(a, b)
	c.linkCuts[k] = mode
	c.after(d, func() {
		delete(c.linkCuts, k)
		for _, f := range c.heldOnLink[k] {
			c.after(time.Millisecond, f)
		}
		delete(c.heldOnLink, k)
	})
}

// cutZone cuts the nodes and machines of a zone from everything outside it.
func (c *Cluster) cutZone(zone, mode string, d time.Duration) {
	c.log("zone %s is cut off (%s)", zone, mode)
	c.cutOffZone, c.zoneCutMode = zone, mode
	c.calmSince = max(c.calmSince, c.Now+d)
	c.after(d, func() {
		c.cutOffZone = ""
		c.log("zone %s is back", zone)
		for _, f := range c.heldAtZone {
			c.after(time.Millisecond, f)
		}
		c.heldAtZone = nil
	})
}

// inZone tells whether a name is a node or machine of the zone that is cut off.
func (c *Cluster) inCutOffZone(name string) bool {
	if w := c.workersByName[name]; w != nil {
		return w.zone == c.cutOffZone
	}
	return c.settings.ZoneOf[name] == c.cutOffZone
}

// wallStart is the time of day at which worlds begin, ms.
const wallStart = 1_800_000_000_000

// node is one controller process round a real core.
type controllerProcess struct {
	cluster           *Cluster
	name              string
	controller        *scheduler.Controller
	generation        int
	startedAt         time.Duration
	clockRate         float64
	lastRequest       uint64
	pendingReplies    map[uint64]func(scheduler.Effect)
	watchRevision     uint64
	isPreviousVersion bool // runs the version before, as far as that concerns the switch
	// A frozen process stands still in the middle of a step, while its clock goes
	// on: what it decided goes out when it wakes, and then all it did not hear.
	frozenUntil     time.Duration // until then
	withheldEffects []scheduler.Effect
	unheardEvents   []scheduler.Event
}

func (p *controllerProcess) clock() time.Duration {
	return time.Duration(float64(p.cluster.Now-p.startedAt) * p.clockRate)
}

func (p *controllerProcess) boot() {
	p.generation++
	p.startedAt = p.cluster.Now
	s := p.cluster.settings
	s.Node, s.Seed = p.name, uint64(p.generation)
	s.WallClockMS = wallStart + p.cluster.Now.Milliseconds()
	if p.isPreviousVersion {
		s.PreviousFormat, s.ValueLimit, s.TransactionLimit = true, max(s.ValueLimit, s.ValueLimitNow), max(s.TransactionLimit, p.cluster.initialTransactionLimit)
	}
	p.controller = scheduler.New(s, fmt.Sprintf("%s.%d", p.name, p.generation))
	p.pendingReplies = map[uint64]func(scheduler.Effect){}
	g := p.generation
	var tick func()
	tick = func() {
		if p.generation == g && p.controller != nil {
			p.step(scheduler.Tick{})
			p.cluster.after(tuning.Tick, tick)
		}
	}
	p.cluster.after(time.Duration(p.cluster.rng.IntN(100))*time.Millisecond, tick)
	p.loadSnapshot(g)
}

func (p *controllerProcess) crash(back time.Duration) {
	if p.controller == nil {
		return
	}
	p.cluster.log("%s ends", p.name)
	p.controller, p.pendingReplies = nil, nil
	p.frozenUntil, p.withheldEffects, p.unheardEvents = 0, nil, nil
	p.generation++
	p.cluster.after(back, func() {
		if p.controller == nil {
			p.cluster.log("%s starts", p.name)
			p.boot()
		}
	})
}

func (p *controllerProcess) step(ev scheduler.Event) {
	if p.controller == nil {
		return
	}
	if p.cluster.Now < p.frozenUntil && len(p.withheldEffects) > 0 {
		p.unheardEvents = append(p.unheardEvents, ev)
		return
	}
	l := p.timedStep(ev)
	if p.cluster.Now < p.frozenUntil {
		p.withheldEffects = l
		return
	}
	for _, e := range l {
		p.carryOut(e)
	}
}

// timedStep is a step of the core, timed where a benchmark asks for it.
func (p *controllerProcess) timedStep(ev scheduler.Event) []scheduler.Effect {
	if !p.cluster.timesSteps {
		return p.controller.Step(p.clock(), ev)
	}
	start := time.Now()
	effects := p.controller.Step(p.clock(), ev)
	took := time.Since(start)
	p.cluster.stepTime += took
	p.cluster.longestStep = max(p.cluster.longestStep, took)
	return effects
}

// freeze stops the process at its next step that does something.
func (p *controllerProcess) freeze(d time.Duration) {
	if p.controller == nil {
		return
	}
	p.cluster.log("%s stands still, its clock goes on", p.name)
	p.frozenUntil = p.cluster.Now + d
	g := p.generation
	p.cluster.after(d, func() {
		if p.generation != g {
			return
		}
		p.cluster.log("%s goes on, %d events late", p.name, len(p.unheardEvents))
		p.cluster.occurrences["woken"]++
		effs, evs := p.withheldEffects, p.unheardEvents
		p.withheldEffects, p.unheardEvents = nil, nil
		for _, e := range effs {
			if x, ok := e.(scheduler.HeartbeatReply); ok && x.Status == 200 {
				p.cluster.occurred("answer decided before a freeze")
			}
			p.carryOut(e)
		}
		for _, e := range evs {
			p.step(e)
		}
	})
}

// ask puts a request to the core; the answer comes through the effect.
func (p *controllerProcess) request(mk func(uint64) scheduler.Event, done func(scheduler.Effect)) {
	if p.controller == nil {
		return
	}
	p.lastRequest++
	p.pendingReplies[p.lastRequest] = done
	p.step(mk(p.lastRequest))
}

func (p *controllerProcess) reply(req uint64, e scheduler.Effect) {
	if f := p.pendingReplies[req]; f != nil {
		delete(p.pendingReplies, req)
		f(e)
	}
}

// back delivers an answer if the process is still the same.
func (p *controllerProcess) deliverer(g int) func(scheduler.Event) {
	return func(e scheduler.Event) {
		if p.generation == g {
			p.step(e)
		}
	}
}

func (p *controllerProcess) carryOut(e scheduler.Effect) {
	if p.cluster.onEffect != nil {
		p.cluster.onEffect(p, e)
	}
	c, back := p.cluster, p.deliverer(p.generation)
	switch x := e.(type) {
	case scheduler.HeartbeatReply:
		p.reply(x.RequestID, x)
	case scheduler.UserReply:
		p.reply(x.RequestID, x)
	case scheduler.ConfirmView:
		c.call(p.name, "state", tuning.StateTimeout, func(r func(any)) { c.answerSlowly(r, c.state.confirm(p.name, x)) }, func(r any) {
			ev, _ := r.(scheduler.ConfirmationAnswered)
			back(ev)
		})
	case scheduler.Commit:
		c.call(p.name, "state", tuning.StateTimeout, func(r func(any)) { c.state.commitAmidTroubles(p, x, r) }, func(r any) {
			ev, ok := r.(scheduler.CommitAnswered)
			if !ok {
				ev = scheduler.CommitAnswered{ID: x.ID, Result: domain.InDoubt}
			}
			back(ev)
		})
	case scheduler.ReadKeys:
		c.call(p.name, "state", tuning.StateTimeout, func(r func(any)) { c.answerSlowly(r, c.state.read(p.name, x)) }, func(r any) {
			ev, ok := r.(scheduler.KeysRead)
			if !ok {
				ev = scheduler.KeysRead{ID: x.ID}
			}
			back(ev)
		})
	case scheduler.GrantLease:
		c.call(p.name, "state", tuning.StateTimeout, func(r func(any)) { c.answerSlowly(r, c.state.grant(p.name, x.TTL)) }, func(r any) {
			ev, _ := r.(scheduler.LeaseGranted)
			back(ev)
		})
	case scheduler.RenewLease:
		c.call(p.name, "state", tuning.StateTimeout, func(r func(any)) { c.answerSlowly(r, c.state.renew(p.name, x.LeaseID)) }, func(r any) {
			ev, _ := r.(scheduler.LeaseRenewalAnswered)
			back(ev)
		})
	case scheduler.ListMachineTypes:
		c.call(p.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(c.cloud.machineTypes()) }, func(r any) {
			ev, _ := r.(scheduler.MachineTypesListed)
			back(ev)
		})
	case scheduler.ListInstances:
		c.call(p.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(c.cloud.instances()) }, func(r any) {
			ev, _ := r.(scheduler.InstancesListed)
			back(ev)
		})
	case scheduler.RentMachines:
		c.call(p.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(c.cloud.rent(x)) }, func(r any) {
			ev, ok := r.(scheduler.RentalAnswered)
			if !ok {
				ev = scheduler.RentalAnswered{RentalID: x.RentalID}
			}
			back(ev)
		})
	case scheduler.ReturnMachines:
		c.call(p.name, "cloud", tuning.CloudTimeout, func(r func(any)) { r(c.cloud.returnMachines(x.Names)) }, func(r any) {
			ok, _ := r.(bool)
			back(scheduler.ReturnAnswered{Names: x.Names, OK: ok})
		})
	case scheduler.SendPeerMessage:
		for _, other := range c.processes {
			if other.name == x.To {
				c.send(p.name, other.name, func() { other.step(scheduler.PeerMessageReceived{From: p.name, Message: x.Message}) })
			}
		}
	case scheduler.SendCommands:
		w := c.worker(x.Machine)
		if w == nil {
			return
		}
		c.call(p.name, w.name, tuning.DirectTimeout, func(r func(any)) { w.receiveCommands(x, r) }, func(r any) {
			ev := scheduler.CommandsAnswered{Machine: x.Machine}
			if rep, ok := r.(domain.Heartbeat); ok {
				ev.Heartbeat = &rep
			}
			back(ev)
		})
	case scheduler.LogLine:
		if x.Message == "value made smaller" {
			c.shrunkValues++
		}
		if x.Message == "format on" && c.startsAsPreviousVersion {
			c.log("%s reads that all know the new format", p.name)
		}
		if x.Message == "machine marked" {
			c.cordons = append(c.cordons, fmt.Sprint(x.Args...))
		}
		if x.Message == "view" {
			c.log("%s sees view %v", p.name, x.Args)
		}
	}
}

func (p *controllerProcess) loadSnapshot(g int) {
	if p.generation != g {
		return
	}
	p.cluster.call(p.name, "state", 2*tuning.StateTimeout, func(r func(any)) { r(p.cluster.state.snapshot(p.name)) }, func(r any) {
		if p.generation != g {
			return
		}
		ev, ok := r.(scheduler.SnapshotLoaded)
		if !ok {
			p.cluster.after(tuning.ConfirmationRetry, func() { p.loadSnapshot(g) })
			return
		}
		p.watchRevision = ev.Revision
		p.step(ev)
		p.watch(g)
	})
}

func (p *controllerProcess) watch(g int) {
	if p.generation != g {
		return
	}
	sent := p.clock()
	p.cluster.call(p.name, "state", tuning.WatchWait+tuning.StateTimeout, func(r func(any)) { p.cluster.state.watch(p.name, p.watchRevision, r) }, func(r any) {
		if p.generation != g {
			return
		}
		pause := tuning.ConfirmationRetry
		if ev, ok := r.(scheduler.WatchAdvanced); ok {
			p.watchRevision = max(p.watchRevision, ev.Revision)
			ev.Sent = sent
			p.step(ev)
			pause = tuning.WatchGap
		}
		p.cluster.after(pause, func() { p.watch(g) })
	})
}

func (c *Cluster) worker(name string) *worker {
	return c.workersByName[name]
}

// Submit sends a job and repeats it until it is accepted; then polls.
func (c *Cluster) Submit(s domain.JobSpec, run time.Duration) {
	job := c.jobs[s.ID]
	if job == nil {
		job = &jobRecord{spec: s, runtime: run, done: map[int]bool{}, cancelToldAt: -1, readyAt: -1}
		c.jobs[s.ID] = job
	}
	for _, id := range s.Dependencies { // users name only what was accepted
		if earlier := c.jobs[id]; earlier == nil || !earlier.accepted {
			c.after(100*time.Millisecond, func() { c.Submit(s, run) })
			return
		}
	}
	job.isSubmitted = true
	c.requestAnywhere(func(p *controllerProcess, done func(scheduler.Effect)) {
		sp := s
		p.request(func(r uint64) scheduler.Event { return scheduler.JobSubmitted{RequestID: r, ID: s.ID, Spec: &sp} }, done)
	}, func(u scheduler.UserReply, asked time.Duration) {
		c.checkReply(s.ID, u, asked)
		if u.Status == 200 || u.Status == 201 {
			c.log("%s accepted", s.ID)
			c.poll(s.ID)
			return
		}
		c.after(time.Second, func() { c.Submit(s, run) })
	})
}

// user sends a request to a live node through the load balancer.
func (c *Cluster) requestAnywhere(ask func(*controllerProcess, func(scheduler.Effect)), done func(scheduler.UserReply, time.Duration)) {
	asked := c.Now
	var live []*controllerProcess
	for _, p := range c.processes {
		if p.controller != nil {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		done(scheduler.UserReply{}, asked)
		return
	}
	c.requestAt(live[c.rng.IntN(len(live))], ask, done)
}

// userAt is the same at one node.
func (c *Cluster) requestAt(p *controllerProcess, ask func(*controllerProcess, func(scheduler.Effect)), done func(scheduler.UserReply, time.Duration)) {
	asked := c.Now
	c.call("users", p.name, 2*time.Second, func(r func(any)) {
		ask(p, func(e scheduler.Effect) { r(e) })
	}, func(r any) {
		u, _ := r.(scheduler.UserReply)
		done(u, asked)
	})
}

func (c *Cluster) poll(id string) {
	c.requestAnywhere(func(p *controllerProcess, done func(scheduler.Effect)) {
		p.request(func(r uint64) scheduler.Event { return scheduler.JobQueried{RequestID: r, ID: id} }, done)
	}, func(u scheduler.UserReply, asked time.Duration) {
		c.checkReply(id, u, asked)
		pause := 5 * time.Second
		if c.strikes("storm") {
			pause /= 10
			c.occurred(fmt.Sprintf("poll answered %d", u.Status))
		}
		if job := c.jobs[id]; job.finalState == "" {
			c.after(pause, func() { c.poll(id) })
		}
	})
}

// Abort cancels a job, repeating until told that it is over.
func (c *Cluster) Cancel(id string) {
	job := c.jobs[id]
	job.cancelRequested = true
	c.requestAnywhere(func(p *controllerProcess, done func(scheduler.Effect)) {
		p.request(func(r uint64) scheduler.Event { return scheduler.JobCancelled{RequestID: r, ID: id} }, done)
	}, func(u scheduler.UserReply, asked time.Duration) {
		c.checkReply(id, u, asked)
		if job.finalState == "" {
			c.after(time.Second, func() { c.Cancel(id) })
		}
	})
}

// judge checks an answer against the rules that concern users. A request that was
// under way when its user was told otherwise may still bring the older state.
func (c *Cluster) checkReply(id string, u scheduler.UserReply, asked time.Duration) {
	job := c.jobs[id]
	switch u.Status {
	case 404, 400, 422:
		if job.accepted && asked >= job.acceptedAt {
			c.violated("forgotten", "%s got %d", id, u.Status)
		}
		if u.Status != 404 && !job.isInvalid {
			c.violated("refused", "%s got %d: %s", id, u.Status, u.Reason)
		}
		return
	case 200, 201:
	default:
		return
	}
	if !job.isSubmitted {
		c.violated("invented", "%s", id)
	}
	if job.isInvalid {
		c.violated("taken", "%s can't run, yet it got %d", id, u.Status)
	}
	if !job.accepted {
		job.acceptedAt = c.Now
		defer c.lookClosely(id)
	}
	job.accepted, job.answeredAt = true, c.Now
	if job.finalState != "" && u.State != job.finalState && asked >= job.finalStateAt {
		c.violated("went_back", "%s: %s after %s", id, u.State, job.finalState)
	}
	switch u.State {
	case "done":
		if len(job.done) < job.spec.TaskCount {
			c.violated("not_done", "%s: %d of %d", id, len(job.done), job.spec.TaskCount)
		}
	case "cancelled":
		if !job.cancelRequested && !c.anyPrerequisite(job, func(earlier *jobRecord) bool { return earlier.cancelRequested }) {
			c.violated("went_back", "%s cancelled though nobody asked", id)
		}
		if job.cancelToldAt < 0 {
			job.cancelToldAt = c.Now
		}
	default:
		c.anyPrerequisite(job, func(earlier *jobRecord) bool {
			late := earlier.cancelToldAt >= 0 && c.Now-earlier.cancelToldAt > c.settings.CancelWithin
			if late && !job.reported(c, "orphaned") {
				c.violated("orphaned", "%s is %s though %s is cancelled", id, u.State, earlier.spec.ID)
			}
			return late
		})
		return
	}
	if job.finalState == "" {
		job.finalState, job.finalStateAt = u.State, c.Now
		c.log("%s is told %s", id, u.State)
		c.lookClosely(id)
	}
}

// Unfinished lists accepted jobs that are not over.
func (c *Cluster) Unfinished() []string {
	var l []string
	for id, job := range c.jobs {
		if job.accepted && job.finalState == "" && job.spec.Shape != domain.Service {
			l = append(l, id)
		}
	}
	sort.Strings(l)
	return l
}

// Starts counts task starts in the trace.
func (c *Cluster) Starts() int {
	n := 0
	for _, l := range c.Trace {
		if strings.Contains(l, " runs on ") {
			n++
		}
	}
	return n
}

// checkPlaces checks quota and cancelled work; called whenever a task comes on
// a machine and every second.
func (c *Cluster) checkRunningTasks() {
	used := map[string]domain.Resources{}
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for _, id := range w.taskIDs() {
			x := w.tasks[id]
			if !x.isOnMachine() {
				continue
			}
			job := c.jobs[id.Job]
			used[job.spec.Team] = used[job.spec.Team].Plus(job.spec.Request, 1)
			if job.cancelToldAt >= 0 && c.Now-job.cancelToldAt > c.settings.CancelWithin && !job.reported(c, "ran_cancelled") {
				c.violated("ran_cancelled", "%v on %s", id, w.name)
			}
		}
	}
	for _, team := range []string{"red", "blue"} {
		lim := c.settings.Teams[team].Limit
		if lim.GPU > 0 && used[team].GPU == lim.GPU {
			c.occurred("a team at its limit")
		}
		if lim.GPU > 0 && used[team].GPU > lim.GPU {
			c.violated("quota", "%s uses %d of %d", team, used[team].GPU, lim.GPU)
		}
	}
}

// checkKnown: once all troubles are over, a job about which no question is
// answered for 75 s is forgotten, and each must begin within four minutes.
func (c *Cluster) checkProgress() {
	for _, id := range c.Unfinished() {
		job := c.jobs[id]
		since := c.Now - max(job.answeredAt, c.calmSince)
		if since > 75*time.Second && !job.reported(c, "forgotten") {
			c.violated("forgotten", "%s: no answer for %.0f s", id, since.Seconds())
		}
		if job.readyAt < 0 && c.dependenciesDone(job) {
			job.readyAt = c.Now
		}
		if !job.hasBegun && !job.cancelRequested && job.readyAt >= 0 && c.Now-max(job.acceptedAt, job.readyAt, c.calmSince) > 4*time.Minute && !job.reported(c, "starved") {
			c.violated("starved", "%s has not begun", id)
		}
	}
}

func (job *jobRecord) reported(c *Cluster, rule string) bool {
	return slices.ContainsFunc(c.Broken, func(s string) bool {
		return strings.HasPrefix(s, rule) && strings.Contains(s, job.spec.ID)
	})
}
