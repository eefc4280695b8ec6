package membership

import (
	"time"

	"brassglade/internal/steady"
)

// What follows is for tests of other packages alone, which begin in the middle of a
// controller's life. The service never calls it.

// AssumeConfirmed takes view and lease as confirmed by requests sent now.
func (m *Member) AssumeConfirmed(now time.Duration) {
	m.fence, m.leaseRenewed = steady.At(now), steady.At(now)
}

// AssumeReadIndex takes a read index asked for at that time as reached.
func (m *Member) AssumeReadIndex(at time.Duration) { m.readIndex = steady.At(at) }

// AssumeMemberKey takes the member key as written.
func (m *Member) AssumeMemberKey() { m.lease = MemberKeyWritten }

// AssumeStateReachable takes the last confirmation as answered.
func (m *Member) AssumeStateReachable() { m.stateReachable = true }
