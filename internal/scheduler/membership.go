package scheduler

import (
	"time"

	"brassglade/internal/tuning"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// leaseState is where the node's own grant stands.
type leaseState int

const (
	leaseNone        leaseState = iota // none, none asked for
	leaseRequested                     // asked for
	leaseHeld                          // held, member key not yet written
	memberKeyWriting                   // member key on its way
	memberKeyWritten                   // member key written
)

// membership is this controller's lease, its member key, and what it last confirmed with
// the state service: the ground on which it may act.
type membership struct {
	incarnation string // unique among all processes of all controllers
	synced      bool   // the cache holds a whole snapshot

	lease             leaseState
	leaseID           uint64
	leaseRenewedAt    time.Duration // sending time of the last renewal that succeeded; < 0: none
	nextRenewalAt     time.Duration
	renewalSentAt     time.Duration
	renewing          bool
	nextMemberWriteAt time.Duration // no member key before

	confirming         bool
	confirmationSentAt time.Duration
	nextConfirmationAt time.Duration
	confirmations      []confirmation // answered, but the cache has not caught up with them
	fenceConfirmedAt   time.Duration  // sending time of the newest confirmation; < 0: none
	readIndexAt        time.Duration  // sending time of the newest read index reached; < 0: none
	watchSentAt        time.Duration  // of the watch being applied; < 0: none

	stateReachable  bool          // the last confirmation was answered
	stateAnsweredAt time.Duration // sending time of the last confirmation answered; < 0: none
	unreadySince    time.Duration // since when others are the better choice; < 0: they aren't
	ready           bool          // what GET /up says
}

func newMembership(incarnation string) membership {
	return membership{
		incarnation: incarnation, leaseRenewedAt: -1, fenceConfirmedAt: -1, readIndexAt: -1,
		watchSentAt: -1, stateAnsweredAt: -1, unreadySince: -1,
	}
}

// confirmation is an answer of the state service that the cache has yet to catch up with.
type confirmation struct {
	sent     time.Duration
	revision uint64
	same     bool
}

func (c *Controller) setLease(s leaseState) {
	if c.membership.lease != s {
		c.membership.lease = s
		c.debug("grant", "state", int(s), "permit", c.membership.leaseID)
	}
}

func (c *Controller) maintainLease() {
	switch c.membership.lease {
	case leaseNone:
		if c.now >= c.membership.nextRenewalAt {
			c.membership.renewalSentAt = c.now
			c.setLease(leaseRequested)
			c.emit(GrantLease{TTL: tuning.LeaseTTL})
		}
	case leaseHeld:
		if c.now >= c.membership.nextMemberWriteAt {
			c.writeMemberKey()
		}
	}
	if c.membership.lease >= leaseHeld && !c.membership.renewing && c.now >= c.membership.nextRenewalAt {
		c.membership.renewing, c.membership.renewalSentAt = true, c.now
		c.emit(RenewLease{LeaseID: c.membership.leaseID})
	}
	// The cache may show that the member key is gone although the grant lives
	// (an older incarnation's expiry, or a late write of it).
	if c.membership.lease == memberKeyWritten && c.membership.synced && c.cache.members[c.cfg.Node] != c.membership.incarnation && c.now >= c.membership.nextRenewalAt-tuning.LeaseRenewalInterval/2 {
		c.setLease(leaseHeld)
	}
}

func (c *Controller) onLeaseGranted(e LeaseGranted) {
	if !e.OK {
		c.membership.nextRenewalAt = c.now + tuning.ConfirmationRetry
		c.setLease(leaseNone)
		return
	}
	c.membership.leaseID, c.membership.leaseRenewedAt = e.LeaseID, c.membership.renewalSentAt
	c.membership.nextRenewalAt = c.membership.renewalSentAt + tuning.LeaseRenewalInterval
	c.setLease(leaseHeld)
}

func (c *Controller) onLeaseRenewal(e LeaseRenewalAnswered) {
	c.membership.renewing = false
	switch {
	case e.Gone:
		c.membership.nextRenewalAt = c.now
		c.setLease(leaseNone)
	case e.OK:
		c.membership.leaseRenewedAt = c.membership.renewalSentAt
		c.membership.nextRenewalAt = c.membership.renewalSentAt + tuning.LeaseRenewalInterval
	default:
		c.membership.nextRenewalAt = c.now + tuning.ConfirmationRetry
	}
}

func (c *Controller) writeMemberKey() {
	c.setLease(memberKeyWriting)
	permit := c.membership.leaseID
	t := domain.Transaction{Puts: []domain.Put{{Key: codec.PrefixMember + c.cfg.Node, Value: codec.Encode(c.membership.incarnation), LeaseID: permit}}}
	c.commit(LaneView, t, func(r domain.CommitResult, _ CommitAnswered) {
		if c.membership.lease != memberKeyWriting {
			return
		}
		if r == domain.Committed {
			c.setLease(memberKeyWritten)
		} else {
			// Not at once: a grant that ran out refuses the key each time, until
			// the renewal says so.
			c.membership.nextMemberWriteAt = c.now + tuning.ConfirmationRetry
			c.membership.nextRenewalAt = min(c.membership.nextRenewalAt, c.membership.nextMemberWriteAt)
			c.setLease(leaseHeld)
		}
	})
}

// mayAct tells whether this node may act as a controller now: it has
// confirmed view and grant by requests sent under Fence ago, the cache has
// reached what they saw, and the view has it as this incarnation.
func (c *Controller) mayAct() bool {
	if !c.guard(GuardFence) {
		return c.membership.synced && c.cache.view != nil
	}
	return c.membership.synced && c.cache.view != nil && c.cache.view.Members[c.cfg.Node] == c.membership.incarnation &&
		c.membership.fenceConfirmedAt >= 0 && c.now-c.membership.fenceConfirmedAt < c.cfg.FenceAge &&
		c.membership.leaseRenewedAt >= 0 && c.now-c.membership.leaseRenewedAt < c.cfg.FenceAge
}

func (c *Controller) confirmView() {
	if c.membership.confirming || !c.membership.synced || c.now < c.membership.nextConfirmationAt {
		return
	}
	due := c.now-c.membership.confirmationSentAt >= tuning.ConfirmationInterval || c.membership.fenceConfirmedAt < 0
	for _, w := range c.requests.waiting {
		due = due || w.askedAt >= c.membership.confirmationSentAt
	}
	if !due {
		return
	}
	c.membership.confirming, c.membership.confirmationSentAt = true, c.now
	c.emit(ConfirmView{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]})
}

func (c *Controller) onConfirmation(e ConfirmationAnswered) {
	c.membership.confirming = false
	c.membership.nextConfirmationAt = c.now + c.confirmationGap()
	c.membership.stateReachable = e.OK
	if !e.OK {
		c.membership.nextConfirmationAt = c.now + tuning.ConfirmationRetry
		c.failWaiters()
		return
	}
	c.membership.stateAnsweredAt = c.membership.confirmationSentAt
	c.membership.confirmations = append(c.membership.confirmations, confirmation{c.membership.confirmationSentAt, e.Revision, e.Same})
	c.settleConfirmations()
}

// confirmationGap keeps what readers can cause to a part of this node's requests.
func (c *Controller) confirmationGap() time.Duration {
	if c.cfg.ReadRate <= 0 {
		return tuning.MinConfirmationGap
	}
	return max(tuning.MinConfirmationGap, time.Duration(float64(time.Second)/(tuning.ConfirmationShare*c.cfg.ReadRate)))
}

// settleConfirmations counts the confirmations that the cache has caught up with.
// Without that a node whose watch hangs would act on old cancellations.
func (c *Controller) settleConfirmations() {
	keep := c.membership.confirmations[:0]
	for _, f := range c.membership.confirmations {
		if f.revision > c.cache.revision {
			keep = append(keep, f)
			continue
		}
		c.membership.readIndexAt = max(c.membership.readIndexAt, f.sent)
		if f.same {
			c.membership.fenceConfirmedAt = max(c.membership.fenceConfirmedAt, f.sent)
		}
	}
	if len(keep) > 16 {
		keep = keep[len(keep)-16:]
	}
	c.membership.confirmations = keep
	c.wakeWaiters()
}
