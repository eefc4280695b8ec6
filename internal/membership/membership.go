// Package membership is one controller's standing in its deployment: its lease, its
// member key under that lease, and how lately the state service confirmed to it that the
// view is still the one it knows. Only on that ground may a controller act.
//
// It is a pure state machine. Steady time comes in as an argument, requests that are due
// go out as returned values, and answers come back through the methods named after them;
// the package sends nothing itself.
package membership

import (
	"time"

	"brassglade/internal/monotime"
)

// LeaseState is how far a controller is on its way to a written member key.
type LeaseState int

// The states, in the order in which they are reached. A lease that is gone leads back to
// LeaseNone, a member key that is missing back to LeaseHeld.
const (
	LeaseNone        LeaseState = iota // none, none requested
	LeaseRequested                     // requested
	LeaseHeld                          // held, member key not yet written
	MemberKeyWriting                   // member key on its way
	MemberKeyWritten                   // member key written
)

// String is the state's name in the log.
func (s LeaseState) String() string {
	return [...]string{"none", "requested", "held", "member key writing", "member key written"}[s]
}

// Config is what membership needs of the settings.
type Config struct {
	FenceAge time.Duration // age of a confirmation up to which the controller acts
	ReadRate float64       // requests a second that this controller plans to make; 0: no bound
}

// Member is one controller's membership.
type Member struct {
	config      Config
	incarnation string
	synced      bool // the cache holds a whole snapshot

	lease              LeaseState
	leaseID            uint64
	leaseRenewedAt     monotime.Instant  // sending time of the last renewal that succeeded
	nextRenewal        monotime.Deadline // no request for a lease or its renewal before
	renewalSentAt      time.Duration
	renewing           bool
	nextMemberKeyWrite monotime.Deadline // no member key before
	confirming         bool
	confirmationSentAt time.Duration
	nextConfirmation   monotime.Deadline     // no confirmation before
	awaitingCache      []pendingConfirmation // answered, but the cache has not caught up with them
	viewConfirmedAt    monotime.Instant      // sending time of the newest confirmation of the view
	readIndex          monotime.Instant      // sending time of the newest read index reached
	watchSentAt        monotime.Instant      // of the watch being applied
	stateReachable     bool                  // the last confirmation was answered
	stateAnsweredAt    monotime.Instant      // sending time of the last confirmation answered
	anotherBetterSince monotime.Instant      // since when another controller is the better choice
	ready              bool
}

// pendingConfirmation is an answer of the state service that the cache has yet to catch up with.
type pendingConfirmation struct {
	sent     time.Duration
	revision uint64
	sameView bool
}

// New returns the membership of a controller that has just started. The incarnation is
// unique among all processes of all controllers.
func New(config Config, incarnation string) Member {
	return Member{config: config, incarnation: incarnation}
}

// Incarnation names this process among all processes of all controllers.
func (m *Member) Incarnation() string { return m.incarnation }

// CacheLoaded says that the cache holds a whole snapshot from now on.
func (m *Member) CacheLoaded() { m.synced = true }

// IsSynced tells whether the cache holds a whole snapshot.
func (m *Member) IsSynced() bool { return m.synced }

// MayAct tells whether the controller may act under a view that names the given
// incarnation for it: the view has it as this process, view and lease were confirmed by
// requests sent less than the fence age ago, and the cache has reached what they saw.
func (m *Member) MayAct(now time.Duration, incarnationInView string) bool {
	return m.synced && incarnationInView == m.incarnation &&
		m.viewConfirmedAt.Within(m.config.FenceAge, now) && m.leaseRenewedAt.Within(m.config.FenceAge, now)
}
