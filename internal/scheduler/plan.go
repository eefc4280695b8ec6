package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// planner is what lasts from one plan to the next.
type planner struct {
	dirty               bool // something changed since the last plan
	nextPlanAt          time.Duration
	largeArraysTurn     bool                     // large arrays went first in the last plan
	largestReleasesTurn bool                     // the next releases go by how much their values have to change
	reserveLongestTexts bool                     // the next draft keeps room for the longest texts
	splitTurn           bool                     // the next commit brings a value to its new size
	foreignTurn         bool                     // the next commit is for a value of another shard
	foreignValues       map[string]bool          // values of other shards that wait for a change from here
	lastForeignValue    string                   // the last one that was changed
	releasesFrom        string                   // machine at which releases begin
	taskHandovers       map[domain.TaskID]string // to other shards, to be committed
	jobHandovers        map[string]string        // untouched jobs to be passed whole, and where to
	pendingReleases     map[attemptID]bool
	preempted           map[attemptID]bool // bookings to be stopped for tasks that wait on the same machine
}

func newPlanner() planner {
	return planner{
		foreignValues: map[string]bool{}, taskHandovers: map[domain.TaskID]string{}, jobHandovers: map[string]string{},
		pendingReleases: map[attemptID]bool{}, preempted: map[attemptID]bool{},
	}
}

// attemptID names one attempt of a task.
type attemptID struct {
	Task    domain.TaskID
	Attempt uint64
}

// isForeign: the value that holds the job's tasks belongs to another part, which
// writes it a few times a second. Tasks of such a job run on machines of this
// part after their owners changed: when a zone was cut off, by the hundred.
func (c *Controller) isForeign(j *Job) bool {
	if j.Header.Inline || placedByLeader(j.Header.Spec) || !c.isLargeFleet() {
		return false
	}
	if j.Header.Pack != "" {
		return !strings.HasPrefix(j.Header.Pack, c.cfg.Node+"/")
	}
	return c.shardOf(j) != c.cfg.Node
}

// nextForeignValue is the other part's value to be changed next, in turn.
func (c *Controller) nextForeignValue() string {
	next, first := "", ""
	for k := range c.planner.foreignValues {
		if till, ok := c.commits.avoidUntil[k]; ok && c.now < till {
			continue
		}
		if first == "" || k < first {
			first = k
		}
		if k > c.planner.lastForeignValue && (next == "" || k < next) {
			next = k
		}
	}
	if next == "" {
		next = first
	}
	return next
}

// planCommit sends the next task commit if there is something to commit. It is
// planned only once it can go out: what waits for credit meanwhile is outrun by
// others' commits.
func (c *Controller) planCommit() {
	if c.commits.taskCommit != nil || !c.planner.dirty || !c.mayAct() || c.now < c.commits.blockedUntil || c.cache.revision < c.commits.minRevision || c.now < c.planner.nextPlanAt ||
		c.cfg.WriteRate > 0 && c.commits.tokens < min(float64(c.commits.lastChanges), tuning.TaskCredit*c.cfg.WriteRate) {
		return
	}
	c.planner.nextPlanAt = c.now + c.pace()
	c.planner.dirty = false
	// Own values and one of another part's go in turns, never together: any
	// change of the other part's fails the whole commit, and with several of them
	// in each a node can lose every time, for minutes.
	clear(c.commits.oversizedInPlan)
	d := c.newDraft()
	// A value is not cut while a commit that may still change it is unsettled.
	if c.planner.splitTurn = !c.planner.splitTurn; c.planner.splitTurn && c.commits.inDoubt.key == "" && len(c.cache.oversized)+len(c.commits.fullValues) > 0 && (c.formatOn() || c.formats.limitsFell) {
		c.planSplits(d)
		if d.changes() > 0 {
			c.commits.lastChanges = d.changes()
			c.sendPlan(d)
			return
		}
		d = c.newDraft()
	}
	if only := c.nextForeignValue(); only != "" && c.planner.foreignTurn {
		d.foreignKey, c.planner.lastForeignValue = only, only
		delete(c.planner.foreignValues, only)
		c.planTasks(d)
	}
	c.planner.foreignTurn = !c.planner.foreignTurn
	if d.changes() == 0 {
		d = c.newDraft()
		clear(c.planner.foreignValues)
		c.planTasks(d)
		c.planner.dirty = c.planner.dirty || len(c.planner.foreignValues) > 0
	}
	c.commits.lastChanges = d.changes()
	if d.changes() == 0 {
		c.planner.taskHandovers = map[domain.TaskID]string{}
		return
	}
	if c.formatOn() && !c.planner.reserveLongestTexts && c.tooLarge(d.transaction()) {
		c.planner.reserveLongestTexts, c.planner.dirty, c.planner.nextPlanAt = true, true, c.now // the same again, with room for the worst
		return
	}
	c.planner.reserveLongestTexts = false
	c.sendPlan(d)
}

// planTasks fills a draft stage by stage.
func (c *Controller) planTasks(d *draft) {
	if d.foreignKey != "" {
		c.planReleases(d)
		c.planBookings(d)
		return
	}
	// A transaction takes few changes and bytes. Each stage leaves some to those
	// after it: finishes alone, of many jobs, would fill one after the other. Large
	// arrays go before other jobs' tasks and after them in turns.
	c.planGangStops(d)
	d.maxChanges = min(c.cfg.TransactionLimit, max(4, c.cfg.TransactionLimit-2))
	c.planGangs(d)
	if c.planner.largeArraysTurn = !c.planner.largeArraysTurn; c.planner.largeArraysTurn {
		c.planLargeArrays(d)
	}
	d.maxChanges = min(c.cfg.TransactionLimit, max(d.changes()+2, c.cfg.TransactionLimit-c.cfg.TransactionLimit/4))
	d.maxBytes = max(d.bytes, tuning.TxnBytes-tuning.TxnBytes/4)
	c.planReleases(d)
	d.maxChanges, d.maxBytes = c.cfg.TransactionLimit, tuning.TxnBytes
	c.planBookings(d)
	if !c.planner.largeArraysTurn {
		c.planLargeArrays(d)
	}
	c.planHandover(d)
	d.settleShares()
}

// sendPlan commits a draft and settles what comes of it.
func (c *Controller) sendPlan(d *draft) {
	t := d.transaction()
	for _, k := range d.releases {
		c.planner.pendingReleases[k] = true
	}
	c.commits.machines = d.machines
	c.debug("task commit", "epoch", c.cache.view.Epoch, "read_at", c.cache.revision, "headers", len(d.headers), "values", len(d.keys)+len(d.rawPuts), "teams", len(d.shares), "tasks", len(d.changed),
		"released", len(d.releases), "conditions", len(t.Conditions), "bytes", transactionBytes(t))
	c.commits.taskCommit = c.commit(LaneTask, t, func(r domain.CommitResult, e CommitAnswered) {
		c.commits.taskCommit = nil
		c.planner.dirty = true
		for n := range d.machines {
			c.heartbeats.touched[n] = true
		}
		switch r {
		case domain.Committed:
			c.debug("task committed", "revision", e.Revision)
			for _, f := range d.onCommit {
				f()
			}
		case domain.Conflict:
			c.debug("task commit conflict", "failed", e.Failed)
			c.commits.minRevision = max(c.commits.minRevision, e.Revision)
			// One contested value must not keep failing all else that this node
			// has to write: it waits a little, of random length.
			for _, k := range e.Failed {
				if strings.HasPrefix(k, codec.PrefixTeam) || strings.HasPrefix(k, codec.PrefixPack) || strings.HasPrefix(k, codec.PrefixTask) {
					c.commits.avoidUntil[k] = c.now + tuning.AvoidLeast + time.Duration(c.rng.Int64N(int64(tuning.AvoidSpread)))
				}
			}
		default:
			c.debug("task commit not confirmed", "result", int(r))
			// All nodes together want more than the state service takes, and it
			// refuses users' submissions as well: each goes back towards its part.
			if r == domain.Refused && c.membership.IsStateReachable() {
				c.commits.rate = max(min(c.cfg.FairWriteRate*c.weight(), c.commits.rate), c.commits.rate*tuning.RateCut)
			}
			c.commits.blockedUntil = c.now + tuning.RefusedLeast + time.Duration(c.rng.Int64N(int64(tuning.RefusedSpread)))
			if r == domain.InDoubt {
				c.markInDoubt(t)
			} else if e.Malformed {
				c.commits.inDoubt = inDoubtCommit{} // it may be the tied value that is too large by now
			}
		}
	})
}

// planReleases commits outcomes and releases of this node's machines.
func (c *Controller) planReleases(d *draft) {
	names := c.machineNames()
	// Begin where the last full draft stopped, so that none is always left out.
	k, _ := slices.BinarySearch(names, c.planner.releasesFrom)
	names = append(slices.Clone(names[k:]), names[:k]...)
	type off struct {
		m           *Machine
		id          domain.TaskID
		s           domain.TaskReport
		there, done bool
	}
	var offs []off
	count := map[string]int{} // by value
	for _, name := range names {
		m := c.heartbeats.machines[name]
		if len(c.cache.bookedOn[name]) == 0 || !c.owns(name) {
			continue
		}
		mark := c.cache.cordons[name]
		var ids []domain.TaskID
		for id := range c.cache.bookedOn[name] {
			if j := c.cache.jobs[id.Job]; j.Header.Spec != nil && c.provenOff(m, id, j.task(id.Index)) {
				ids = append(ids, id)
			}
		}
		for _, id := range inOrder(ids) {
			j := c.cache.jobs[id.Job]
			t := j.task(id.Index)
			s, there := m.reported[id]
			there = there && s.Attempt == t.Attempt && m.agentEpoch == t.AgentEpoch
			done := there && s.State == domain.ReportedEnded && s.Cause == domain.CauseDone || c.gangDone(j, nil)
			// An undelivered run is simply sent again, unless the booking
			// has lost its sense.
			if !there && !c.planner.pendingReleases[attemptID{id, t.Attempt}] && m.agentEpoch == t.AgentEpoch && m.abandonedEpoch < t.AgentEpoch && mark.State != domain.CordonGone &&
				j.Header.State == domain.StateOpen && m.preemptionAt < 0 && mark.State == "" && c.gangIntact(j, t) &&
				!c.planner.preempted[attemptID{id, t.Attempt}] && !(c.isEvicting(name) && !reservesMachines(j.Header.Spec)) && (j.Header.StopThrough == 0 || j.Header.StopThrough < t.Attempt) {
				continue
			}
			if c.isAvoided(j, id.Index) {
				continue
			}
			count[keyOf(j, id.Index)]++
			offs = append(offs, off{m, id, s, there, done})
		}
	}
	// Where more values wait for a change than go into one commit, those with most
	// to change go first, or a backlog with many values takes all changes a second
	// for two or three releases each. In turns with the order of machines, so that
	// none is left out.
	if c.planner.largestReleasesTurn = !c.planner.largestReleasesTurn; c.planner.largestReleasesTurn && len(count) > d.maxChanges-d.changes() && c.isLargeFleet() {
		slices.SortStableFunc(offs, func(a, b off) int {
			return cmp.Compare(count[keyOf(c.cache.jobs[b.id.Job], b.id.Index)], count[keyOf(c.cache.jobs[a.id.Job], a.id.Index)])
		})
	}
	full := false
	for _, o := range offs {
		m, id, s := o.m, o.id, o.s
		j := c.cache.jobs[id.Job]
		t := j.task(id.Index)
		done := o.done || c.gangDone(j, d) // a mate's end may stand in this very draft
		if !d.hasRoomFor(j, id.Index, done, false) {
			c.planner.dirty = true
			if !full {
				full, c.planner.releasesFrom = true, m.Name
			}
			continue // others may change values that are in already
		}
		d.release(j, id.Index, done && j.Header.State == domain.StateOpen)
		if o.there && s.State == domain.ReportedEnded {
			c.recordTaskEnd(d, m, j, id, s)
		} else {
			d.onCommit = append(d.onCommit, func() {
				c.debug("task released", "task", id, "machine", m.Name, "attempt", t.Attempt)
			})
		}
	}
	// A cancelled job whose last booking is gone needs no further care.
	for _, id := range slices.Sorted(maps.Keys(c.cache.awaitingRelease)) {
		j := c.cache.awaitingRelease[id]
		if j.counts.booked > 0 || c.shardOf(j) != c.cfg.Node || j.Header.Spec == nil {
			continue
		}
		if foreign := c.isForeign(j); foreign && d.foreignKey != keyOf(j, 0) {
			c.planner.foreignValues[keyOf(j, 0)] = true
			continue
		} else if !foreign && d.foreignKey != "" {
			continue
		}
		touched := false
		for r := range d.cells {
			touched = touched || r.job == id
		}
		chunks := j.cells()
		if touched || d.changes()+1+min(chunks, c.cfg.TransactionLimit/2) > c.cfg.TransactionLimit || len(d.conditions)+8 > 4*c.cfg.TransactionLimit {
			continue
		}
		h := d.header(j)
		d.finished[id] = true
		for i := 0; i < j.Header.TaskCount && d.changes() < c.cfg.TransactionLimit; i = j.cellEnd(i) {
			if key := keyOf(j, i); !j.Header.Inline && c.cache.modRevisions[key] != 0 && !d.keys[key] && j.Tasks != nil && !c.isOversizedInPlan(key) {
				d.keys[key] = true
				d.bytes += c.valueBound()
				d.addCondition(key)
			}
		}
		if c.cache.oversized[keyOf(j, 0)] {
			d.addCondition(keyOf(j, 0))
		}
		h.State = domain.StateCancelled
		h.Released, h.Spec, h.SplitChunks, h.CellSize = true, nil, nil, 0
	}
}

// planGangStops asks for the orderly stop of gangs that have a task on a machine
// about to be taken away: the header carries it to all owners, which halt
// their tasks well within gang_peer_s of each other.
func (c *Controller) planGangStops(d *draft) {
	for _, name := range c.machineNames() {
		m := c.heartbeats.machines[name]
		if len(c.cache.bookedOn[name]) == 0 {
			continue
		}
		mark := c.cache.cordons[name]
		if m.preemptionAt < 0 && !(mark.State == domain.CordonDrain && mark.Reason == domain.DrainFaulty) {
			continue
		}
		if !c.owns(name) {
			continue
		}
		for _, id := range sortedTasks(c.cache.bookedOn[name]) {
			j := c.cache.jobs[id.Job]
			sp := j.Header.Spec
			t := j.task(id.Index)
			if sp == nil || sp.Shape != domain.Gang || sp.TaskCount == 1 || j.Header.State != domain.StateOpen || j.Header.StopThrough >= t.Attempt ||
				d.changes() >= c.cfg.TransactionLimit {
				continue
			}
			d.header(j).StopThrough = t.Attempt
		}
	}
}

// recordTaskEnd learns from a task's end once it is committed.
func (c *Controller) recordTaskEnd(d *draft, m *Machine, j *Job, id domain.TaskID, s domain.TaskReport) {
	sp := j.Header.Spec
	k := attemptID{id, s.Attempt}
	from, ran := m.runningSince[k]
	d.onCommit = append(d.onCommit, func() {
		c.debug("task ended", "task", id, "machine", m.Name, "attempt", s.Attempt, "cause", s.Cause, "saved", s.Saved)
		switch s.Cause {
		case domain.CauseDone:
			clear(m.failures)
			j.failures, j.pausedUntil = 0, 0
			if ran {
				c.recordRunTime(m, sp, (c.now - from).Seconds())
			}
		case domain.CauseError:
			e, was := m.failures[j.ID]
			if !was {
				e.firstAt = c.now
			}
			e.count++
			m.failures[j.ID] = e
			row := 0
			for _, x := range m.failures {
				row += x.count
			}
			// Until it shows whose fault it is, the machine is given less to fail.
			m.noBookingsUntil = c.now + min(time.Duration(row)*tuning.RefusedPause, tuning.MaxErrorRowPause)
			if int64(c.now) >= j.pausedUntil { // its tasks that fail together count as one try
				j.failures++
			}
			p := min(tuning.ErrorPause<<min(j.failures-1, 10), tuning.MaxErrorPause)
			j.pausedUntil = int64(c.now + p)
		case domain.CauseNoRoom, domain.CauseBusy:
			m.noBookingsUntil = c.now + tuning.RefusedPause
		case domain.CauseUnknown:
			j.failures++
			j.pausedUntil = int64(c.now + min(tuning.ErrorPause<<min(j.failures, 10), tuning.MaxErrorPause))
		}
		c.recordFinish(m)
	})
}

// freeOn is the room on a machine as committed, less what the draft books.
func (c *Controller) freeOn(name string, size domain.Resources, d *draft) domain.Resources {
	r := size.Plus(c.cache.occupancy[name].used, -1)
	if d != nil {
		r = r.Plus(d.usedOn[name], -1)
	}
	return r
}

func (c *Controller) machineType(name string) *domain.MachineType {
	for i := range c.cache.machineTypes {
		if c.cache.machineTypes[i].Name == name {
			return &c.cache.machineTypes[i]
		}
	}
	return nil
}

// isBookable: the machine takes new bookings.
func (c *Controller) isBookable(m *Machine) bool {
	return m.heardOnce && m.agentEpoch > m.abandonedEpoch && m.preemptionAt < 0 && c.cache.cordons[m.Name].State == "" &&
		c.now >= m.noBookingsUntil && c.now-m.heardAt < 2*c.cfg.HeartbeatInterval+time.Second && c.machineType(m.Type) != nil
}

// allowsMachine: the machine may take a task of the job, room aside.
func (c *Controller) allowsMachine(sp *domain.JobSpec, typ, zone string, spot bool) bool {
	return listAllows(sp.MachineTypes, typ) && (sp.Zone == "" || sp.Zone == zone) && (sp.Spot || !spot)
}

// planBookings starts heads of queues where there is room.
func (c *Controller) planBookings(d *draft) {
	type cand struct {
		m  *Machine
		id domain.TaskID
		j  *Job
		o  bool
	}
	if !c.guard(GuardBook) {
		return
	}
	claims := c.claims(d)
	var ms []*Machine
	for _, name := range c.machineNames() {
		if m := c.heartbeats.machines[name]; len(m.queue) > 0 && c.owns(name) && c.isBookable(m) && !c.isReserved(name) {
			ms = append(ms, m)
		}
	}
	for round := 0; round < 64; round++ {
		var cs []cand
		for _, m := range ms {
			name := m.Name
			free := c.freeOn(name, c.machineType(m.Type).Capacity, d)
			for _, id := range c.queueByPriority(m) {
				j := c.cache.jobs[id.Job]
				if c.queues.machineOf[id] != name || j == nil || j.phase != phaseOpen || d.changed[id] ||
					j.task(id.Index).State != domain.Queued || c.taskShard(j, j.task(id.Index)) != c.cfg.Node {
					continue
				}
				if int64(c.now) < j.pausedUntil || c.planner.taskHandovers[id] != "" || c.planner.jobHandovers[id.Job] != "" {
					continue
				}
				if m.failedHere(j) {
					c.dequeue(id)
					c.planner.dirty = true
					continue
				}
				if c.isAvoided(j, id.Index) {
					continue
				}
				sp := j.Header.Spec
				if !c.quotaAllows(sp, d, claims) {
					continue // waits for its team without blocking others
				}
				if !free.Fits(sp.Request) {
					break // first come, first served
				}
				cs = append(cs, cand{m, id, j, c.withinGuarantee(sp, d)})
				break
			}
		}
		if len(cs) == 0 {
			return
		}
		sort.SliceStable(cs, func(a, b int) bool {
			x, y := cs[a], cs[b]
			if x.o != y.o {
				return x.o
			}
			if x.j.priority != y.j.priority {
				return x.j.priority > y.j.priority
			}
			return x.j.Header.AcceptOrder < y.j.Header.AcceptOrder
		})
		any := false
		for _, x := range cs {
			sp := x.j.Header.Spec
			if !c.quotaAllows(sp, d, claims) {
				continue
			}
			if !d.hasRoomFor(x.j, x.id.Index, false, true) {
				c.planner.dirty = true
				if d.changes() >= c.cfg.TransactionLimit-2 && c.cfg.TransactionLimit > 4 || len(d.conditions)+3 > 4*c.cfg.TransactionLimit {
					return
				}
				continue // its pack is full; others may still go in
			}
			at := x.j.task(x.id.Index).Attempt + 1
			d.book(x.j, x.id.Index, x.m.Name, x.m.Zone, x.m.agentEpoch, at)
			d.recordBooking(x.id, x.m.Name, x.m.Zone, at, PassQueue)
			any = true
		}
		if !any {
			return
		}
	}
}

// queueByPriority is a machine's queue, first come, first served among tasks of the same
// priority. A small urgent task that fits must not wait behind a large one that
// doesn't: on a day of pipelines their last jobs waited 30 s so.
func (c *Controller) queueByPriority(m *Machine) []domain.TaskID {
	prio := func(id domain.TaskID) int {
		if j := c.cache.jobs[id.Job]; j != nil {
			return j.priority
		}
		return 0
	}
	for i := 1; i < len(m.queue); i++ {
		if prio(m.queue[i]) > prio(m.queue[i-1]) {
			slices.SortStableFunc(m.queue, func(a, b domain.TaskID) int { return prio(b) - prio(a) })
			break
		}
	}
	return m.queue
}

// planHandover writes the parts of jobs and tasks passed or stolen.
func (c *Controller) planHandover(d *draft) {
	for _, id := range slices.Sorted(maps.Keys(c.planner.jobHandovers)) {
		to, j := c.planner.jobHandovers[id], c.cache.jobs[id]
		if d.changes() >= c.cfg.TransactionLimit || len(d.conditions)+4 > 4*c.cfg.TransactionLimit {
			c.planner.dirty = true
			return
		}
		delete(c.planner.jobHandovers, id)
		if j == nil || j.Header.State != domain.StateOpen || !isUntouched(j) || j.queuedHere > 0 || !slices.Contains(c.cache.view.Serving, to) ||
			c.shardOf(j) != c.cfg.Node {
			continue
		}
		h := d.header(j)
		h.Shard, h.Handovers = to, h.Handovers+1
		if h.Pack != "" {
			pack, ok := c.packFor(j.Header.Spec, to)
			if !ok {
				pack = h.Pack
			}
			h.Pack = pack
		}
		d.onCommit = append(d.onCommit, func() {
			c.learner.passes += j.Header.TaskCount
			c.debug("job handed over", "job", id, "to", to)
		})
	}
	for _, id := range sortedTasks(c.planner.taskHandovers) {
		to := c.planner.taskHandovers[id]
		j := c.cache.jobs[id.Job]
		delete(c.planner.taskHandovers, id)
		if j == nil || j.Header.State != domain.StateOpen || d.changed[id] || j.task(id.Index).State != domain.Queued ||
			!slices.Contains(c.cache.view.Serving, to) || c.taskShard(j, j.task(id.Index)) != c.cfg.Node {
			continue
		}
		if c.isAvoided(j, id.Index) {
			continue
		}
		if !d.hasRoomFor(j, id.Index, false, true) {
			c.planner.dirty = true
			return
		}
		t := d.task(j, id.Index)
		d.addCondition(codec.KeyJob(j.ID))
		d.growth[d.keyOf(j, id.Index)] += tuning.ReleaseBytes
		t.Shard = to
		c.dequeue(id)
		d.onCommit = append(d.onCommit, func() {
			c.learner.passes++
			c.debug("task handed over", "task", id, "to", to)
		})
	}
}

// recordRunTime keeps smoothed run times per machine, class and type.
func (c *Controller) recordRunTime(m *Machine, sp *domain.JobSpec, run float64) {
	if run <= 0 || math.IsNaN(run) {
		return
	}
	m.runTime.add(run)
	if c.queues.runTimeRatios[sp.Class] == nil {
		c.queues.runTimeRatios[sp.Class] = &smoothedValue{}
	}
	c.queues.runTimeRatios[sp.Class].add(run / max(sp.EstimatedRuntime, 1))
}

// smoothedValue is a smoothed value.
type smoothedValue struct {
	value   float64
	samples int
}

func (r *smoothedValue) add(x float64) {
	if r.samples == 0 {
		r.value = x
	} else {
		r.value += tuning.RateSmooth * (x - r.value)
	}
	r.samples++
}
