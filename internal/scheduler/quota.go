package scheduler

import (
	"maps"
	"slices"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// This file reads the cache and the draft for team quotas; the arithmetic is that of package
// quota. A team's key in the key-value store holds each controller's share of the team's limit:
// a controller books within its own share alone, and changes the key when it needs more or
// keeps much unused, so that no two controllers together can exceed the limit.

// quotaClaim is what the waiting jobs of one team claim of its limit.
type quotaClaim struct {
	quota.Claim
	// The starving job goes ahead of gangs, too: not for ever, it may not be possible.
	aheadOfGangs bool
}

// judge tells whether one more task of a job stays within the team's limit and leaves what the
// team's waiting jobs claim of it, or what keeps it from that.
func (q quotaClaim) judge(spec *domain.JobSpec, used, limit domain.Resources) quota.Verdict {
	return q.Admit(quota.Task{Job: spec.ID, Request: spec.Request, PlacedByLeader: placedByLeader(spec)}, used, limit)
}

// admits tells whether one more task of a job may start, as far as the team's limit goes.
func (q quotaClaim) admits(spec *domain.JobSpec, used, limit domain.Resources) bool {
	return q.judge(spec, used, limit) == quota.Admitted
}

// teamUsed is what counts against a team's limit: what the other controllers have set aside,
// and this one's bookings, with those of the draft (nil: none).
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

// teamUsed is what counts against a team's limit, with the bookings of the draft.
func (d *draft) teamUsed(team string) domain.Resources { return d.c.teamUsed(team, d) }

// isOwed tells whether one more task of a job is within its team's guarantee: such heads of
// queues go first, whatever their priority.
func (d *draft) isOwed(spec *domain.JobSpec) bool {
	guarantee := d.c.cfg.Teams[spec.Team].Guarantee
	if guarantee == (domain.Resources{}) {
		return false
	}
	return quota.Within(d.teamUsed(spec.Team).Plus(spec.Request, 1), guarantee)
}

// claims are, by team, what waiting jobs claim of its limit beside what the draft (nil:
// none) books.
func (c *Controller) claims(d *draft) map[string]quotaClaim {
	claims := map[string]quotaClaim{}
	for _, j := range c.cache.openJobs {
		spec, placed := j.Header.Spec, placementOf(j, d)
		claim := claims[spec.Team]
		if placedByLeader(spec) {
			c.addPlacedClaim(&claim, j, placed)
		} else if !c.addSmallClaim(&claim, j, placed) {
			continue
		}
		claims[spec.Team] = claim
	}
	return claims
}

// addSmallClaim adds to a team's claim what a job does whose tasks are placed one by one. It tells
// whether that is anything; of nearly all jobs it is not.
func (c *Controller) addSmallClaim(claim *quotaClaim, j *Job, placed placement) (added bool) {
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
		claim.aheadOfGangs = age < tuning.StarveAfter+tuning.GangBlock
		added = true
	}
	return added
}

// addPlacedClaim adds to a team's claim what a job does that the leader places.
func (c *Controller) addPlacedClaim(claim *quotaClaim, j *Job, placed placement) {
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

// quotaAllows tells whether a task that is placed by itself may start within its team's limit:
// it must fit, and must not take the room that a waiting gang needs. What no gang can use,
// such tasks may.
func (c *Controller) quotaAllows(j *Job, d *draft, claims map[string]quotaClaim) bool {
	if !c.isGuardEnabled(GuardQuota) {
		return true
	}
	spec := j.Header.Spec
	limit, used := c.cfg.Teams[spec.Team].Limit, d.teamUsed(spec.Team)
	if quota.Within(used.Plus(spec.Request, 1), limit) && c.avoidsShare(spec.Team) && !d.ownShareFits(spec) {
		c.planner.dirty = true
		c.noteWait(j, WaitsForShare, claims, used)
		return false
	}
	verdict := claims[spec.Team].judge(spec, used, limit)
	if verdict != quota.Admitted {
		c.noteWait(j, waitReasons[verdict], claims, used)
	}
	return verdict == quota.Admitted
}

// ownShareFits tells whether one more task goes into this controller's share as it is,
// so that the team's key needn't change.
func (d *draft) ownShareFits(spec *domain.JobSpec) bool {
	own := d.ownUsage(spec.Team).Plus(spec.Request, 1)
	return d.c.ownShare(spec.Team).Fits(quota.OnlyLimited(own, d.c.cfg.Teams[spec.Team].Limit))
}

// ownUsage is what this controller has booked for a team, with the draft's bookings.
func (d *draft) ownUsage(team string) domain.Resources {
	return d.c.cache.usage[team][d.c.cfg.Controller].Plus(d.usageByTeam[team], 1)
}

// ownShare is this controller's share of a team's limit.
func (c *Controller) ownShare(team string) domain.Resources {
	return c.cache.shares[team].ByController[c.cfg.Controller]
}

// avoidsShare tells whether a team's key lost a conflict just now, and is only changed for
// what can't do without.
func (c *Controller) avoidsShare(team string) bool {
	return c.commits.checkAvoided(codec.PrefixTeam+team, c.now)
}

// shareSlack is how much of a team's limit this controller sets aside beyond its bookings.
func (c *Controller) shareSlack(team string, request domain.Resources) domain.Resources {
	limit := c.cfg.Teams[team].Limit
	left := limit
	for _, share := range c.cache.shares[team].ByController {
		left = left.Plus(share, -1)
	}
	return quota.Slack(limit, left, request, len(c.cfg.Controllers))
}

// settleShare writes the team's key if this controller's bookings no longer fit its share, or
// leave much of it unused. The request is that of the task which was booked or released.
func (d *draft) settleShare(team string, request domain.Resources) {
	c := d.c
	if _, ok := d.shares[team]; ok && request == (domain.Resources{}) {
		return
	}
	limit := c.cfg.Teams[team].Limit
	use := quota.OnlyLimited(d.ownUsage(team), limit)
	have := c.ownShare(team)
	slack := c.shareSlack(team, request)
	fits := have.Fits(use)
	if fits && (c.avoidsShare(team) || use.Plus(slack, 2).Fits(have)) {
		d.keepShare(team)
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

// keepShare drops a change of a team's key, or writes the key as it is if a commit of unknown
// outcome changes it, too: the two must exclude each other.
func (d *draft) keepShare(team string) {
	if d.c.commits.inDoubt.key != codec.PrefixTeam+team {
		delete(d.shares, team)
		return
	}
	d.shares[team] = d.c.cache.cloneShares(team)
	d.addCondition(codec.PrefixTeam + team)
}

// cloneShares copies the committed shares of a team's limit.
func (c *cache) cloneShares(team string) codec.TeamShares {
	return codec.TeamShares{ByController: maps.Clone(c.shares[team].ByController)}
}

// oneGPU is what a task of one GPU asks for.
var oneGPU = domain.Resources{GPU: 1000}

// settleShares gives back what others' releases left unused of this controller's shares,
// and, as the leader, of those of controllers that are not members.
func (d *draft) settleShares() {
	c := d.c
	for _, team := range slices.Sorted(maps.Keys(c.cache.shares)) {
		if d.changes() >= c.cfg.TransactionLimit || !d.hasRoomForConditions(4) {
			return
		}
		if _, ok := d.shares[team]; !ok {
			d.settleShare(team, oneGPU)
		}
		if c.isLeader() && d.changes() < c.cfg.TransactionLimit {
			d.settleAbsentShares(team)
		}
	}
}

// settleAbsentShares lowers the shares of controllers that are not members to what is
// still booked by them.
func (d *draft) settleAbsentShares(team string) {
	c := d.c
	for controller, share := range c.cache.shares[team].ByController {
		use := quota.OnlyLimited(c.cache.usage[team][controller], c.cfg.Teams[team].Limit)
		if _, member := c.cache.view.Members[controller]; member || use == share {
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
