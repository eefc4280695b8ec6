package membership

import (
	"time"

	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// IsReady reports whether GET /up reports this controller as ready.
func (m *Member) IsReady() bool { return m.ready }

// HasRecentStateResponse reports whether the state service responded to a confirmation sent
// less than tuning.UsableAge ago.
func (m *Member) HasRecentStateResponse(now time.Duration) bool {
	return m.stateAnsweredAt.Within(tuning.UsableAge, now)
}

// BecomeReady records that this controller can take requests, which makes it ready immediately.
func (m *Member) BecomeReady() { m.ready, m.anotherBetterSince = true, monotime.Instant{} }

// MaybeBecomeUnready records that a ready controller can't take requests now. The controller
// becomes unready only after another one has been the better choice without interruption for
// longer than tuning.UnreadyDelay: in an outage that affects all controllers, leaving the load
// balancer would help no user.
func (m *Member) MaybeBecomeUnready(now time.Duration, anotherIsBetter bool) {
	switch {
	case !anotherIsBetter:
		m.anotherBetterSince = monotime.Instant{}
	case !m.anotherBetterSince.IsSet():
		m.anotherBetterSince = monotime.At(now)
	case now-m.anotherBetterSince.Time() > tuning.UnreadyDelay:
		m.ready = false
	}
}
