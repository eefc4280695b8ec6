package membership

import (
	"time"

	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// IsReady is what GET /up says.
func (m *Member) IsReady() bool { return m.ready }

// StateAnswers tells whether the state service answered lately.
func (m *Member) StateAnswers(now time.Duration) bool {
	return m.stateAnswered.Within(tuning.UsableAge, now)
}

// BecomeReady says that this controller can take requests.
func (m *Member) BecomeReady() { m.ready, m.betterElsewhere = true, steady.Instant{} }

// StepBack says that a ready controller can't take requests now. It stays ready until
// another has been the better choice for tuning.StepBack: in an outage for all, leaving
// the load balancer would help no user.
func (m *Member) StepBack(now time.Duration, anotherIsBetter bool) {
	switch {
	case !anotherIsBetter:
		m.betterElsewhere = steady.Instant{}
	case !m.betterElsewhere.IsKnown():
		m.betterElsewhere = steady.At(now)
	case now-m.betterElsewhere.Time() > tuning.UnreadyDelay:
		m.ready = false
	}
}
