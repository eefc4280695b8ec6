package membership

import (
	"time"

	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// IsReady is what GET /up says.
func (m *Member) IsReady() bool { return m.ready }

// HasRecentStateResponse tells whether the state service answered lately.
func (m *Member) HasRecentStateResponse(now time.Duration) bool {
	return m.stateAnsweredAt.Within(tuning.UsableFor, now)
}

// BecomeReady says that this controller can take requests.
func (m *Member) BecomeReady() { m.ready, m.anotherBetterSince = true, monotime.Instant{} }

// MaybeBecomeUnready says that a ready controller can't take requests now. It stays ready until
// another has been the better choice for tuning.MaybeBecomeUnready: in an outage for all, leaving
// the load balancer would help no user.
func (m *Member) MaybeBecomeUnready(now time.Duration, anotherIsBetter bool) {
	switch {
	case !anotherIsBetter:
		m.anotherBetterSince = monotime.Instant{}
	case !m.anotherBetterSince.IsSet():
		m.anotherBetterSince = monotime.At(now)
	case now-m.anotherBetterSince.Time() > tuning.StepBack:
		m.ready = false
	}
}
