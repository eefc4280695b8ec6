// Package membership tracks one controller's membership of its deployment: its lease, the
// member key that it writes under that lease, and when the state service last confirmed that
// the view known to the controller is still current. A controller may act only while lease and
// view were confirmed recently and the view lists this process (MayAct).
//
// The package is a pure state machine. Monotonic time comes in as an argument, requests that
// are due are returned as values, and responses come in through the methods named after them;
// the package sends nothing itself.
package membership

import (
	"time"

	"brassglade/internal/monotime"
)

// LeaseState is how far a controller has come towards a written member key.
type LeaseState int

// The states, in the order in which they are reached. When the lease is lost the state
// returns to LeaseNone, when the member key is missing it returns to LeaseHeld.
const (
	LeaseNone        LeaseState = iota // no lease, none requested
	LeaseRequested                     // lease requested, no response yet
	LeaseHeld                          // lease granted, member key not yet written
	MemberKeyWriting                   // member key being written
	MemberKeyWritten                   // member key written
)

// String returns the name of the state in the log.
func (s LeaseState) String() string {
	return [...]string{"none", "requested", "held", "member key writing", "member key written"}[s]
}

// Config is the part of the settings that membership needs.
type Config struct {
	FenceAge time.Duration // the controller may act only while confirmations are younger
	ReadRate float64       // requests per second that it plans to make; 0: no limit
}

// Member is the membership state of one controller. No request is made before the deadline
// for it (such as nextRenewal) has passed.
type Member struct {
	config      Config
	incarnation string
	synced      bool // the cache holds a complete snapshot

	lease              LeaseState
	leaseID            uint64
	leaseRenewedAt     monotime.Instant      // when the newest granted lease or renewal was requested
	nextRenewal        monotime.Deadline     // for requesting a lease or its renewal
	renewalSentAt      time.Duration         // when a lease or its renewal was last requested
	renewing           bool                  // a renewal was requested and has no response yet
	nextMemberKeyWrite monotime.Deadline     // for writing the member key
	confirming         bool                  // a confirmation was sent and has no response yet
	confirmationSentAt time.Duration         // when the last confirmation was sent
	nextConfirmation   monotime.Deadline     // for sending a confirmation
	awaitingCache      []pendingConfirmation // responses that the cache has not caught up with, oldest first
	viewConfirmedAt    monotime.Instant      // when the newest counted confirmation of the view was sent
	readIndex          monotime.Instant      // when the newest read index that the cache has reached was requested
	watchSentAt        monotime.Instant      // of the watch being applied; unset: none, or unknown
	stateReachable     bool                  // the last confirmation got a response
	stateAnsweredAt    monotime.Instant      // when the last confirmation that got a response was sent
	anotherBetterSince monotime.Instant      // since when another controller has been the better choice
	ready              bool                  // what GET /up reports
}

// pendingConfirmation is the state service's response to a confirmation. It counts once the
// cache has reached its revision.
type pendingConfirmation struct {
	sent     time.Duration
	revision uint64
	sameView bool
}

// New returns the membership of a controller that has just started. The incarnation must be
// unique among all processes of all controllers.
func New(config Config, incarnation string) Member {
	return Member{config: config, incarnation: incarnation}
}

// Incarnation returns the name of this process, which is unique among all processes of all
// controllers.
func (m *Member) Incarnation() string { return m.incarnation }

// CacheLoaded records that the cache holds a complete snapshot from now on. Before that, no
// confirmation is sent and the controller may not act.
func (m *Member) CacheLoaded() { m.synced = true }

// IsSynced reports whether the cache holds a complete snapshot.
func (m *Member) IsSynced() bool { return m.synced }

// MayAct reports whether the controller may act under a view that lists incarnationInView for
// it. It may if that is the incarnation of this process, the cache holds a snapshot and has
// reached the revision of the newest confirmation of the view, and both that confirmation and
// the newest renewal of the lease were sent less than Config.FenceAge ago.
func (m *Member) MayAct(now time.Duration, incarnationInView string) bool {
	return m.synced && incarnationInView == m.incarnation &&
		m.viewConfirmedAt.Within(m.config.FenceAge, now) && m.leaseRenewedAt.Within(m.config.FenceAge, now)
}
