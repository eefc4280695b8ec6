package tuning

import "time"

// Fencing: which controller may act, and for how long after its last confirmation.
const (
	// FenceAge is how old the newest confirmation of view and cache may be while a controller
	// still answers heartbeats with 200. Together with lease_s and the margins below it must
	// stay under cancel_s. Package config lowers it where cancel_s is too short, and rejects
	// settings that leave less than MinFenceAge.
	FenceAge = 7 * time.Second
	// MinFenceAge is the shortest FenceAge that leaves time for a retry.
	MinFenceAge = 2 * time.Second
	// FenceMargin covers the transfer of an answer to the worker.
	FenceMargin = 300 * time.Millisecond
	// DriftMargin covers a difference of 0.05% between the speeds of two clocks over any lease
	// used here, and the coarse timers of the machines.
	DriftMargin = 700 * time.Millisecond
	// ConfirmationInterval is the pause between confirmations when no reader asks for one.
	// Several fit into FenceAge, so that one lost request has no effect.
	ConfirmationInterval = 1200 * time.Millisecond
	// MinConfirmationGap is the shortest pause between two confirmations that readers asked
	// for. It limits the requests that users' queries can cause.
	MinConfirmationGap = 60 * time.Millisecond
	// ConfirmationShare is the part of a controller's requests that confirmations for readers
	// may take, and WatchShare the part that watches may take. The rest is for commits and
	// renewals.
	ConfirmationShare = 0.3
	WatchShare        = 0.35
	// ConfirmationRetry is the pause after a failed confirmation, snapshot or watch. Many
	// tries fit into FenceAge.
	ConfirmationRetry = 350 * time.Millisecond
	// LeaseTTL is the lifetime of the lease to which a controller's member key is attached:
	// the time until the others notice that the controller is gone.
	LeaseTTL = 5 * time.Second
	// LeaseRenewalInterval is the pause between renewals of the lease; three tries fit into
	// LeaseTTL.
	LeaseRenewalInterval = 1400 * time.Millisecond
)

// The view: members, leader and owners of machines.
const (
	// ProposePause is the shortest time between proposals of a changed view by one controller:
	// each change of the view fails the commits under way.
	ProposePause = 700 * time.Millisecond
	// ViewBytes is reserved in the view's value for everything except owner overrides, and
	// OverrideBytes is the largest size of one override. Both are in bytes.
	ViewBytes     = 1200
	OverrideBytes = 32
	// OverrideLifetime is the age beyond which large fleets drop an override when the
	// view changes for another reason, since the cause of the override may be gone.
	OverrideLifetime = 60 * time.Second
	// OverridePause is the shortest time between changes of overrides alone in large
	// deployments: each change of the view fails all commits under way.
	OverridePause = 3 * time.Second
	// MaxOverrideChanges is the number of changes of a machine's override within
	// OverrideChangeWindow after which the override isn't changed again for now: the machine
	// itself can't be reached then, and its owners are not at fault.
	MaxOverrideChanges   = 2
	OverrideChangeWindow = 60 * time.Second
	// RedirectCount is the weight of a worker's redirects to the same owner within
	// RedirectWindow from which the owner counts as unreachable for it. A redirect has weight
	// 1, or RedirectCount if the worker was already answered under the current view.
	RedirectWindow = 14 * time.Second
	RedirectCount  = 2
	// RedirectPersistence is how long the redirects of a worker must go on before large
	// fleets move it. It is longer than the owner's lease, whose end moves all of the
	// owner's workers.
	RedirectPersistence = LeaseTTL + 1500*time.Millisecond
	// MinRedirectSpan is the shortest time between two requests of a worker that tried its
	// owner in between: it waits 4 s for an answer, or 1 s after a refusal.
	MinRedirectSpan = 900 * time.Millisecond
	// UnreachableMachines is the number of machines that must fail to reach one owner before
	// the owner counts as at fault.
	UnreachableMachines = 2
	// UnreachablePercent is the share of an owner's machines, in percent, that must be exceeded
	// by the machines that can't reach it before the owner is removed from service. Otherwise
	// these machines get new owners one by one.
	UnreachablePercent = 70
	// ServeAgainAfter is how long a controller that was removed from service stays out of
	// service, so that its machines don't change owners repeatedly while it can't be reached.
	ServeAgainAfter = 45 * time.Second
	// MinMachinesCutOff is the number of machines of one zone that can't reach the owners in
	// another zone from which the zones count as partitioned. Fewer machines may be at fault
	// themselves.
	MinMachinesCutOff = 12
	// MinZonedTime is how long all controllers must have received each other's messages again,
	// and how long the zoned view must have been in effect, before that view ends.
	MinZonedTime = 12 * time.Second
)

// MaxPendingConfirmations limits the confirmations that wait for the cache; beyond it the oldest
// are dropped. They accumulate only while a watch hangs.
const MaxPendingConfirmations = 16
