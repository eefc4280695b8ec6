package tuning

import "time"

// Entitlement: which controller may act, and for how long after it was last sure.
const (
	// FenceAge is how old the newest confirmation of view and cache may be while a controller
	// still answers heartbeats with 200. Together with lease_s and the margins below it must
	// stay under cancel_s; package config lowers it where that is short, and refuses settings
	// that leave less than MinFenceAge.
	FenceAge = 7 * time.Second
	// MinFenceAge is the shortest FenceAge that leaves room for a retry.
	MinFenceAge = 2 * time.Second
	// FenceMargin covers an answer's way to the worker.
	FenceMargin = 300 * time.Millisecond
	// DriftMargin covers clocks 0.05% apart over any lease used here, and the coarse timers
	// of the machines.
	DriftMargin = 700 * time.Millisecond
	// ConfirmationInterval is the pause between confirmations when no reader asks for one;
	// several fit into FenceAge, so that one lost request costs nothing.
	ConfirmationInterval = 1200 * time.Millisecond
	// MinConfirmationGap is the least pause between two confirmations that readers asked
	// for; it bounds the requests that users' queries can cause.
	MinConfirmationGap = 60 * time.Millisecond
	// ConfirmationShare is the part of a controller's requests that confirmations for readers
	// may take, and WatchShare the part that watches may take; the rest is for commits and
	// renewals.
	ConfirmationShare = 0.3
	WatchShare        = 0.35
	// ConfirmationRetry is the pause after a failed confirmation, snapshot or watch; many
	// tries fit into FenceAge.
	ConfirmationRetry = 350 * time.Millisecond
	// LeaseTTL is the life of the lease that a controller's member key hangs on: the time
	// until the others notice that it is gone.
	LeaseTTL = 5 * time.Second
	// LeaseRenewalInterval is the pause between renewals of the lease; three tries fit into
	// LeaseTTL.
	LeaseRenewalInterval = 1400 * time.Millisecond
)

// The view: members, leader and owners of machines.
const (
	// ProposePause is the least time between proposals of a changed view by one controller:
	// each change of the view fails the commits under way.
	ProposePause = 700 * time.Millisecond
	// ViewBytes is kept free in the view's value for all but owner overrides, and
	// OverrideBytes is the most that one of these takes. Both are in bytes.
	ViewBytes     = 1200
	OverrideBytes = 32
	// OverrideLifetime is how long an override is kept when the view changes for another
	// reason; an older one is dropped then, since its cause may be gone.
	OverrideLifetime = 60 * time.Second
	// OverridePause is the least time between changes of overrides alone in large
	// deployments: each change of the view fails all commits under way.
	OverridePause = 3 * time.Second
	// MaxOverrideChanges changes of a machine's override within OverrideChangeMemory are
	// enough: then it is the machine that can't be reached, not its owners.
	MaxOverrideChanges   = 2
	OverrideChangeWindow = 60 * time.Second
	// RedirectCount is the number of times that a worker is sent to the same owner within
	// RedirectWindow, and comes back, after which the owner counts as out of its reach.
	RedirectWindow = 14 * time.Second
	RedirectCount  = 2
	// RedirectPersistence is how long workers of one owner must keep coming back before large
	// deployments move them: longer than the owner's lease, whose end moves all of them.
	RedirectPersistence = LeaseTTL + 1500*time.Millisecond
	// MinRedirectSpan is the least time between two visits of a worker that tried its owner
	// in between: it waits 4 s for an answer, or 1 s after a refusal.
	MinRedirectSpan = 900 * time.Millisecond
	// UnreachableMachines is the number of machines that must fail to reach one owner before
	// the owner counts as at fault.
	UnreachableMachines = 2
	// UnreachablePercent of an owner's machines must fail to reach it before it is taken off
	// serving; fewer are given new owners one by one.
	UnreachablePercent = 70
	// ServeAgainAfter is how long a controller that was taken off serving stays off,
	// so that its machines don't move to and fro while it can't be reached.
	ServeAgainAfter = 45 * time.Second
	// MinMachinesCutOff machines of one zone that can't reach the owners in another zone mean
	// that the zones are cut apart; fewer may be at fault themselves.
	MinMachinesCutOff = 12
	// MinZonedTime is how long all controllers must have heard each other again, and the
	// view of zones apart must have stood, before that view ends.
	MinZonedTime = 12 * time.Second
)

// MaxPendingConfirmations bounds the confirmations that wait for the cache; of more, the
// oldest are forgotten. Only a watch that hangs lets them pile up.
const MaxPendingConfirmations = 16
