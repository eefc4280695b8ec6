package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// keepShare drops a change of a team's key, or writes it as it is if it is tied.
func (d *draft) keepShare(name string) {
	if d.c.commits.inDoubt.key != codec.PrefixTeam+name {
		delete(d.shares, name)
		return
	}
	d.shares[name] = codec.TeamShares{ByNode: maps.Clone(d.c.cache.shares[name].ByNode)}
	d.addCondition(codec.PrefixTeam + name)
}

// teamUsed is what counts against a team's limit: what the others have set
// aside, and this node's bookings, with those of the draft.
func (c *Controller) teamUsed(name string, d *draft) domain.Resources {
	u := c.cache.usage[name][c.cfg.Node]
	if d != nil {
		u = u.Plus(d.usage[name], 1)
	}
	for n, r := range c.cache.shares[name].ByNode {
		if n != c.cfg.Node {
			u = u.Plus(r, 1)
		}
	}
	return u
}

func (d *draft) teamUsed(name string) domain.Resources { return d.c.teamUsed(name, d) }

// shareSlack is how much of a team's limit a node sets aside beyond its bookings, so
// that at size hardly any commit has to change a team's key; nothing where the
// limit is only a few tasks, and less the less is left.
func (c *Controller) shareSlack(name string, need domain.Resources) domain.Resources {
	lim := c.cfg.Teams[name].Limit
	left := lim
	for _, r := range c.cache.shares[name].ByNode {
		left = left.Plus(r, -1)
	}
	n := int64(len(c.cfg.Nodes))
	part := func(lim, left, need int64) int64 {
		s := max(0, min(lim/(tuning.SlackShare*n), left/(2*n)))
		if s < tuning.SlackTasks*need {
			return 0
		}
		return s
	}
	return domain.Resources{CPU: part(lim.CPU, left.CPU, need.CPU), GPU: part(lim.GPU, left.GPU, need.GPU), Memory: part(lim.Memory, left.Memory, need.Memory)}
}

// avoidsShare: the team's key lost a conflict just now, and is only changed for
// what can't do without.
func (c *Controller) avoidsShare(name string) bool {
	till, ok := c.commits.avoidUntil[codec.PrefixTeam+name]
	if ok && c.now >= till {
		delete(c.commits.avoidUntil, codec.PrefixTeam+name)
	}
	return ok && c.now < till
}

// limited leaves out what a team's limit does not bound.
func limited(r, lim domain.Resources) domain.Resources {
	if lim.CPU == 0 {
		r.CPU = 0
	}
	if lim.GPU == 0 {
		r.GPU = 0
	}
	if lim.Memory == 0 {
		r.Memory = 0
	}
	return r
}

// ownShare is this node's share of a team's limit.
func (c *Controller) ownShare(name string) domain.Resources {
	return c.cache.shares[name].ByNode[c.cfg.Node]
}

// settleShare writes the team's key if this node's bookings no longer fit its
// share, or leave much of it unused.
func (d *draft) settleShare(name string, need domain.Resources) {
	c := d.c
	if _, ok := d.shares[name]; ok && need == (domain.Resources{}) {
		return
	}
	use := limited(c.cache.usage[name][c.cfg.Node].Plus(d.usage[name], 1), c.cfg.Teams[name].Limit)
	have := c.ownShare(name)
	slack := c.shareSlack(name, need)
	fits := have.Fits(use)
	if fits && (c.avoidsShare(name) || use.Plus(slack, 2).Fits(have)) {
		d.keepShare(name)
		return
	}
	want := use.Plus(slack, 1)
	if lim := c.cfg.Teams[name].Limit; !withinLimit(d.teamUsed(name).Plus(slack, 1), lim) {
		want = use
	}
	t := codec.TeamShares{ByNode: maps.Clone(c.cache.shares[name].ByNode)}
	if t.ByNode == nil {
		t.ByNode = map[string]domain.Resources{}
	}
	t.ByNode[c.cfg.Node] = want
	d.shares[name] = t
	d.addCondition(codec.PrefixTeam + name)
}

// settleShares gives back what others' releases left unused of this node's
// shares, and, as the leader, of those of nodes that are not members.
func (d *draft) settleShares() {
	c := d.c
	for _, name := range slices.Sorted(maps.Keys(c.cache.shares)) {
		if d.changes() >= c.cfg.TransactionLimit || len(d.conditions)+4 > 4*c.cfg.TransactionLimit {
			return
		}
		if _, ok := d.shares[name]; !ok {
			d.settleShare(name, domain.Resources{GPU: 1000})
		}
		if !c.isLeader() || d.changes() >= c.cfg.TransactionLimit {
			continue
		}
		for n, r := range c.cache.shares[name].ByNode {
			use := limited(c.cache.usage[name][n], c.cfg.Teams[name].Limit)
			if _, member := c.cache.view.Members[n]; member || use == r {
				continue
			}
			t, ok := d.shares[name]
			if !ok {
				t = codec.TeamShares{ByNode: maps.Clone(c.cache.shares[name].ByNode)}
				d.shares[name] = t
				d.addCondition(codec.PrefixTeam + name)
			}
			t.ByNode[n] = use
			if t.ByNode[n] == (domain.Resources{}) {
				delete(t.ByNode, n)
			}
		}
	}
}

// priority orders heads of queues: what the team is owed first, then the
// job's priority, then first come.
func (c *Controller) withinGuarantee(sp *domain.JobSpec, d *draft) bool {
	lim := c.cfg.Teams[sp.Team]
	if lim.Guarantee == (domain.Resources{}) {
		return false
	}
	return withinLimit(d.teamUsed(sp.Team).Plus(sp.Request, 1), lim.Guarantee)
}

// quotaClaim is what waiting whole jobs want of their team's limit.
type quotaClaim struct {
	gangRequest    domain.Resources // one job
	waitingGangs   int              // waiting
	placedByLeader domain.Resources // booked by whole jobs
	// A job of which nothing began for long, what one of its tasks takes, and
	// whether gangs wait for it, too: not for ever, it may not be possible.
	starvingJob     string
	starvingRequest domain.Resources
	aheadOfGangs    bool
	// Jobs that have waited for long with nothing on don't wait for gangs any
	// more, unless one of those starves itself.
	longWaiting map[string]bool
	gangStarves bool
}

// claims are, by team, what waiting jobs claim of its limit beside what the draft (nil:
// none) books.
func (c *Controller) claims(d *draft) map[string]quotaClaim {
	r := map[string]quotaClaim{}
	for _, j := range c.cache.openJobs {
		sp, at := j.Header.Spec, c.placementOf(j, d)
		x := r[sp.Team]
		if !placedByLeader(sp) {
			// Large tasks at a limit: each small one of the team that ends would
			// make room for another small one, for as long as those come.
			if at.booked+at.done == 0 && c.now-time.Duration(j.readyAt) > tuning.MaxClaimAge {
				if x.longWaiting == nil {
					x.longWaiting = map[string]bool{}
				}
				x.longWaiting[j.ID] = true
				r[sp.Team] = x
			}
			if x.starvingJob == "" && c.isStarving(j, at) && int64(c.now) >= j.pausedUntil {
				x.starvingJob, x.starvingRequest = j.ID, sp.Request
				x.aheadOfGangs = c.now-time.Duration(j.readyAt) < tuning.StarveAfter+tuning.GangBlock
				r[sp.Team] = x
			}
			continue
		}
		if at.queued > 0 && sp.Shape == domain.Gang {
			age := c.now - time.Duration(j.readyAt)
			x.gangStarves = x.gangStarves || age > tuning.GangStarve && age < tuning.GangStarve+tuning.GangBlock
			if x.waitingGangs == 0 {
				x.gangRequest = domain.Resources{}.Plus(sp.Request, int64(sp.TaskCount))
			}
			x.waitingGangs++
		}
		x.placedByLeader = x.placedByLeader.Plus(sp.Request, int64(at.booked))
		r[sp.Team] = x
	}
	return r
}

// quotaAllows tells whether a small task may start within its team's limit: it
// must fit, and must not take the room that a waiting whole job needs. What no
// whole job can use, small tasks may.
func (c *Controller) quotaAllows(sp *domain.JobSpec, d *draft, claims map[string]quotaClaim) bool {
	lim, used := c.cfg.Teams[sp.Team].Limit, d.teamUsed(sp.Team)
	if !c.guard(GuardQuota) {
		return true
	}
	if !withinLimit(used.Plus(sp.Request, 1), lim) {
		return false
	}
	if c.avoidsShare(sp.Team) {
		own := c.cache.usage[sp.Team][c.cfg.Node].Plus(d.usage[sp.Team], 1).Plus(sp.Request, 1)
		if !c.ownShare(sp.Team).Fits(limited(own, lim)) {
			c.planner.dirty = true
			return false
		}
	}
	return claims[sp.Team].allows(sp, used, lim)
}

// leavesFirst tells whether the team's limit keeps room, beside what is used, for a
// task of the job that has waited longest.
func (x quotaClaim) leavesFirst(id string, used, lim domain.Resources) bool {
	return x.starvingJob == "" || x.starvingJob == id || withinLimit(used.Plus(x.starvingRequest, 1), lim)
}

// allows tells whether one more small task leaves the waiting whole jobs all
// that they could have of the team's limit.
func (x quotaClaim) allows(sp *domain.JobSpec, used, lim domain.Resources) bool {
	if !x.leavesFirst(sp.ID, used.Plus(sp.Request, 1), lim) {
		return false
	}
	if x.starvingJob == sp.ID || x.longWaiting[sp.ID] && !x.gangStarves || x.waitingGangs == 0 || placedByLeader(sp) {
		return true
	}
	fit := func(small domain.Resources) int64 {
		room := domain.Resources{CPU: math.MaxInt32, GPU: math.MaxInt32, Memory: math.MaxInt32}
		if lim.CPU > 0 {
			room.CPU = lim.CPU - small.CPU
		}
		if lim.GPU > 0 {
			room.GPU = lim.GPU - small.GPU
		}
		return room.CountFitting(x.gangRequest, 1000)
	}
	small := used.Plus(x.placedByLeader, -1)
	want := x.placedByLeader.CountFitting(x.gangRequest, 1000) + int64(x.waitingGangs)
	return fit(small.Plus(sp.Request, 1)) >= min(want, fit(domain.Resources{}))
}
