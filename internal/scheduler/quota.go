package scheduler

import (
	"maps"
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// This file applies the rules of package quota, which does the arithmetic, to the cache and the
// draft. A team's key in the key-value store holds each controller's share of the team's limit. A
// controller books only within its own share, and changes the key when it needs more or leaves
// much of it unused. Thus controllers that book at the same time can't exceed the limit together.

// quotaClaim is the part of a team's limit that is held back for waiting jobs of the team.
type quotaClaim struct {
	quota.Claim
	// aheadOfGangs is whether the starving job goes ahead of gangs, too. This ends after
	// tuning.MaxGangBlock, since the job may be impossible to place.
	aheadOfGangs bool
}

// judge returns quota.Admitted if one more task of a job stays within the team's limit and leaves
// the room claimed by the team's waiting jobs, and otherwise the reason why it may not start.
func (q quotaClaim) judge(spec *domain.JobSpec, used, limit domain.Resources) quota.Verdict {
	return q.Admit(quota.Task{Job: spec.ID, Request: spec.Request, PlacedByLeader: placedByLeader(spec)}, used, limit)
}

// admits reports whether the team's limit and claims let one more task of a job start.
func (q quotaClaim) admits(spec *domain.JobSpec, used, limit domain.Resources) bool {
	return q.judge(spec, used, limit) == quota.Admitted
}

// teamUsed returns the resources that count against a team's limit: the shares of the other
// controllers, and the bookings of this one, including those of the draft unless that is nil.
func (c *Controller) teamUsed(team string, d *draft) domain.Resources {
	used := c.cache.usage[team][c.cfg.Controller]
	if d != nil {
		used = used.Plus(d.usageByTeam[team], 1)
	}
	for controller, share := range c.cache.shares[team].ByController {
		if controller != c.cfg.Controller {
			used = used.Plus(share, 1)
		}
	}
	return used
}

// teamUsed returns the resources that count against a team's limit, with the draft's bookings.
func (d *draft) teamUsed(team string) domain.Resources { return d.c.teamUsed(team, d) }

// isWithinGuarantee reports whether one more task of a job is within its team's guarantee. Such
// tasks at the head of a queue are booked first, whatever their priority.
func (d *draft) isWithinGuarantee(spec *domain.JobSpec) bool {
	guarantee := d.c.cfg.Teams[spec.Team].Guarantee
	if guarantee == (domain.Resources{}) {
		return false
	}
	return quota.Within(d.teamUsed(spec.Team).Plus(spec.Request, 1), guarantee)
}

// claims returns by team the part of its limit that is held back for waiting jobs. Tasks that the
// draft books don't count as waiting; the draft may be nil.
func (c *Controller) claims(d *draft) map[string]quotaClaim {
	claims := map[string]quotaClaim{}
	for _, j := range c.cache.openJobs {
		spec, placed := j.Header.Spec, placementOf(j, d)
		claim := claims[spec.Team]
		if placedByLeader(spec) {
			c.addLeaderPlacedClaim(&claim, j, placed)
		} else if !c.addTaskClaim(&claim, j, placed) {
			continue
		}
		claims[spec.Team] = claim
	}
	return claims
}

// addTaskClaim adds to the team's claim what is held back for a job whose tasks are placed one by
// one. A job without a booked or done task that is older than tuning.MaxClaimAge no longer waits
// for the team's gangs, unless one of them is starving. For the first starving job that is not
// paused, room for one task is kept within the team's limit. It reports whether either
// applies; for nearly all jobs neither does.
func (c *Controller) addTaskClaim(claim *quotaClaim, j *Job, placed placement) (added bool) {
	age := j.age(c.now)
	if placed.booked+placed.done == 0 && age > tuning.MaxClaimAge {
		if claim.LongWaiting == nil {
			claim.LongWaiting = map[string]bool{}
		}
		claim.LongWaiting[j.ID] = true
		added = true
	}
	if claim.StarvingJob == "" && c.isStarving(j, placed) && !j.isPaused(c.now) {
		claim.StarvingJob, claim.StarvingRequest = j.ID, j.Header.Spec.Request
		claim.aheadOfGangs = age < tuning.StarvationAge+tuning.MaxGangBlock
		added = true
	}
	return added
}

// addLeaderPlacedClaim adds to the team's claim what concerns a job that the leader places: its
// booked resources and, if it is a gang with waiting tasks, one more waiting gang. The claim keeps
// the ID of the first waiting gang and the resources of all its tasks together.
func (c *Controller) addLeaderPlacedClaim(claim *quotaClaim, j *Job, placed placement) {
	spec := j.Header.Spec
	if placed.queued > 0 && spec.Shape == domain.Gang {
		claim.GangStarving = claim.GangStarving || j.blocksOthers(c.now)
		if claim.WaitingGangs == 0 {
			claim.FirstGang = j.ID
			claim.GangRequest = domain.Resources{}.Plus(spec.Request, int64(spec.TaskCount))
		}
		claim.WaitingGangs++
	}
	claim.PlacedByLeader = claim.PlacedByLeader.Plus(spec.Request, int64(placed.booked))
}

// quotaAllows reports whether one more task of a job whose tasks are placed one by one may start
// within its team's limit: it must fit, and must leave the room claimed for other waiting jobs of
// the team. Room that no waiting gang can use is not held back for gangs. If the result is false,
// the wait reason of the job is recorded.
func (c *Controller) quotaAllows(j *Job, d *draft, claims map[string]quotaClaim) bool {
	if !c.isGuardEnabled(GuardQuota) {
		return true
	}
	spec := j.Header.Spec
	limit, used := c.cfg.Teams[spec.Team].Limit, d.teamUsed(spec.Team)
	if quota.Within(used.Plus(spec.Request, 1), limit) && c.avoidsShareChange(spec.Team) && !d.ownShareFits(spec) {
		c.planner.dirty = true
		c.recordWaitReason(j, WaitsForShare, claims, used)
		return false
	}
	verdict := claims[spec.Team].judge(spec, used, limit)
	if verdict != quota.Admitted {
		c.recordWaitReason(j, reasonsByVerdict[verdict], claims, used)
	}
	return verdict == quota.Admitted
}

// ownShareFits reports whether one more task fits into this controller's present share, so that
// the team's key needn't change.
func (d *draft) ownShareFits(spec *domain.JobSpec) bool {
	own := d.ownUsage(spec.Team).Plus(spec.Request, 1)
	return d.c.ownShare(spec.Team).Fits(quota.OnlyLimited(own, d.c.cfg.Teams[spec.Team].Limit))
}

// ownUsage returns the resources that this controller has booked for a team, with the draft's.
func (d *draft) ownUsage(team string) domain.Resources {
	return d.c.cache.usage[team][d.c.cfg.Controller].Plus(d.usageByTeam[team], 1)
}

// ownShare returns this controller's share of a team's limit.
func (c *Controller) ownShare(team string) domain.Resources {
	return c.cache.shares[team].ByController[c.cfg.Controller]
}

// avoidsShareChange reports whether a commit of the team's key failed by a conflict a short time
// ago. The key is then changed only if the draft's bookings don't fit this controller's share.
func (c *Controller) avoidsShareChange(team string) bool {
	return c.commits.checkAvoided(codec.PrefixTeam+team, c.now)
}

// shareSlack returns the part of a team's limit that this controller sets aside beyond its
// bookings.
func (c *Controller) shareSlack(team string, request domain.Resources) domain.Resources {
	limit := c.cfg.Teams[team].Limit
	left := limit
	for _, share := range c.cache.shares[team].ByController {
		left = left.Plus(share, -1)
	}
	return quota.Slack(limit, left, request, len(c.cfg.Controllers))
}

// adjustShare writes the team's key if this controller's bookings no longer fit its share, or leave
// much of it unused. The request is that of the task that was booked or released. With the zero
// request, a change of the key that is already in the draft stays as it is.
func (d *draft) adjustShare(team string, request domain.Resources) {
	c := d.c
	if _, ok := d.shares[team]; ok && request == (domain.Resources{}) {
		return
	}
	limit := c.cfg.Teams[team].Limit
	use := quota.OnlyLimited(d.ownUsage(team), limit)
	have := c.ownShare(team)
	slack := c.shareSlack(team, request)
	fits := have.Fits(use)
	if fits && (c.avoidsShareChange(team) || use.Plus(slack, 2).Fits(have)) {
		d.dropShareChange(team)
		return
	}
	want := use.Plus(slack, 1)
	if !quota.Within(d.teamUsed(team).Plus(slack, 1), limit) {
		want = use
	}
	shares := c.cache.cloneShares(team)
	if shares.ByController == nil {
		shares.ByController = map[string]domain.Resources{}
	}
	shares.ByController[c.cfg.Controller] = want
	d.shares[team] = shares
	d.addCondition(codec.PrefixTeam + team)
}

// dropShareChange removes the change of a team's key from the draft. If an in-doubt commit also
// changes the key, the draft instead writes the key with its committed value, so that only one of
// the two commits can succeed.
func (d *draft) dropShareChange(team string) {
	if d.c.commits.inDoubt.key != codec.PrefixTeam+team {
		delete(d.shares, team)
		return
	}
	d.shares[team] = d.c.cache.cloneShares(team)
	d.addCondition(codec.PrefixTeam + team)
}

// cloneShares returns a copy of the committed shares of a team's limit.
func (c *cache) cloneShares(team string) codec.TeamShares {
	return codec.TeamShares{ByController: maps.Clone(c.shares[team].ByController)}
}

// oneGPU is the request of a task of one GPU. adjustShares computes the slack with it, since it
// follows no single task.
var oneGPU = domain.Resources{GPU: 1000}

// adjustShares gives back the unused part of this controller's shares, which remains when other
// controllers release its bookings. The leader also gives back unused parts of the shares of
// controllers that are not members.
func (d *draft) adjustShares() {
	c := d.c
	for _, team := range slices.Sorted(maps.Keys(c.cache.shares)) {
		if d.changes() >= c.maxPlanChanges() || !d.hasRoomForConditions(4) {
			return
		}
		if _, ok := d.shares[team]; !ok {
			d.adjustShare(team, oneGPU)
		}
		if c.isLeader() && d.changes() < c.maxPlanChanges() {
			d.adjustSharesOfNonMembers(team)
		}
	}
}

// adjustSharesOfNonMembers sets the shares of controllers that are not members to the resources
// still booked by them.
func (d *draft) adjustSharesOfNonMembers(team string) {
	c := d.c
	for controller, share := range c.cache.shares[team].ByController {
		use := quota.OnlyLimited(c.cache.usage[team][controller], c.cfg.Teams[team].Limit)
		if _, isMember := c.cache.view.Members[controller]; isMember || use == share {
			continue
		}
		shares, ok := d.shares[team]
		if !ok {
			shares = c.cache.cloneShares(team)
			d.shares[team] = shares
			d.addCondition(codec.PrefixTeam + team)
		}
		shares.ByController[controller] = use
		if use == (domain.Resources{}) {
			delete(shares.ByController, controller)
		}
	}
}
