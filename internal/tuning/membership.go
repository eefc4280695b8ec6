package tuning

import "time"

// Entitlement: who may act, and for how long after last having been sure.
const (
	// FenceAge is how old the newest confirmation of view and cache may be while
	// a node still answers check-ins with 200. Together with lease_s and the
	// margins it must stay under cancel_s; config refuses settings where not.
	FenceAge = 7 * time.Second
	// MinFenceAge is the shortest fence that leaves room for a retry.
	MinFenceAge = 2 * time.Second
	// FenceMargin covers an answer's way to the worker.
	FenceMargin = 300 * time.Millisecond
	// ConfirmationInterval is the pause between confirmations when no reader asks;
	// several fit into Fence, so that one lost request costs nothing.
	ConfirmationInterval = 1200 * time.Millisecond
	// MinConfirmationGap is the least pause between two confirmations asked for by
	// readers; it bounds the requests that polls can cause.
	MinConfirmationGap = 60 * time.Millisecond
	// ConfirmationShare and WatchShare are the parts of a node's requests that read
	// indexes and watches may take; the rest is for commits and renewals.
	ConfirmationShare = 0.3
	WatchShare        = 0.35
	// ConfirmationRetry is the pause after a failed confirmation.
	ConfirmationRetry = 350 * time.Millisecond
	// LeaseTTL is the life of the grant that the member key hangs on: the
	// time until the others notice that a node is gone.
	LeaseTTL = 5 * time.Second
	// LeaseRenewalInterval renews the grant; three tries fit into LeaseTTL.
	LeaseRenewalInterval = 1400 * time.Millisecond
	// ProposePause spaces proposals of a changed view by one node.
	ProposePause = 700 * time.Millisecond
	// DriftMargin covers clocks 0.05% apart over any lease used here, and the
	// coarse timers of the machines.
	DriftMargin = 700 * time.Millisecond
	// RedirectWindow and RedirectCount: a worker sent to the same owner that often
	// within the window can't reach it.
	RedirectWindow = 14 * time.Second
	RedirectCount  = 2
	// MaxOverrideChanges changes of override within OverrideChangeMemory are enough for one
	// machine: then it is the machine that can't be reached, not its owners.
	MaxOverrideChanges   = 2
	OverrideChangeMemory = 60 * time.Second
	// ViewBytes is kept in the view for all but overrides; OverrideBytes is what
	// one of these takes at most.
	ViewBytes     = 1200
	OverrideBytes = 32
	// RedirectSettle is how long workers of one owner must come round before wide
	// fleets move them: longer than the owner's grant, whose end moves all.
	RedirectSettle = LeaseTTL + 1500*time.Millisecond
	// RedirectReturn is the least time between two visits of a worker that tried its
	// owner in between: it waits 4 s for an answer, or 1 s after a refusal.
	RedirectReturn = 900 * time.Millisecond
	// OverridePause is the least time between changes of overrides alone in wide
	// fleets: each change of the view fails all commits under way.
	OverridePause = 3 * time.Second
	// MinMachinesApart of one zone that can't reach another zone's owners mean that
	// the zones are apart. MinZonedTime is how long all must have been heard again,
	// and the zoned view have stood, before it ends.
	MinMachinesApart = 12
	MinZonedTime     = 12 * time.Second
	// OverrideLifetime is how long an override is kept when the view changes anyway.
	OverrideLifetime = 60 * time.Second
	// PeerFresh is the age up to which a peer's word shows that no cut lies
	// between it and this node.
	PeerFresh = 4 * time.Second
	// UnreachablePercent of an owner's machines must bounce before it is taken
	// off serving; fewer are given new owners one by one.
	UnreachablePercent = 70
	// UnreachableMachines bounced off one owner mean the owner is at fault.
	UnreachableMachines = 2
	// ServeAgainAfter is how long a node that was taken off serving stays off.
	ServeAgainAfter = 45 * time.Second
)
