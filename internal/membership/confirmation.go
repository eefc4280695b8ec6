package membership

import (
	"time"

	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

// StartConfirmation tells whether the view is to be confirmed now, and takes the request
// as sent if so. newestReader is when the last reader asked who still waits for a read
// index, if any does.
func (m *Member) StartConfirmation(now time.Duration, newestReader steady.Instant) bool {
	if m.confirming || !m.synced || !m.confirmation.IsOpen(now) {
		return false
	}
	readerWaits := newestReader.IsKnown() && newestReader.Time() >= m.confirmationSent
	if now-m.confirmationSent < tuning.ConfirmationInterval && m.fence.IsKnown() && !readerWaits {
		return false
	}
	m.confirming, m.confirmationSent = true, now
	return true
}

// ConfirmSoon lets the next confirmation be sent without further pause.
func (m *Member) ConfirmSoon(now time.Duration) { m.confirmation.Advance(now) }

// ConfirmationAnswered takes the state service's answer: sameView tells whether the view
// is still the one asked about, revision is what the cache must reach before it counts.
func (m *Member) ConfirmationAnswered(now time.Duration, sameView bool, revision uint64) {
	m.confirming, m.stateReachable = false, true
	m.confirmation.Close(now + m.confirmationGap())
	m.stateAnswered = steady.At(m.confirmationSent)
	m.unsettled = append(m.unsettled, confirmed{m.confirmationSent, revision, sameView})
}

// ConfirmationFailed says that the confirmation got no answer.
func (m *Member) ConfirmationFailed(now time.Duration) {
	m.confirming, m.stateReachable = false, false
	m.confirmation.Close(now + tuning.ConfirmationRetry)
}

// confirmationGap keeps what readers can cause to a part of this controller's requests.
func (m *Member) confirmationGap() time.Duration {
	if m.config.ReadRate <= 0 {
		return tuning.MinConfirmationGap
	}
	return max(tuning.MinConfirmationGap, time.Duration(float64(time.Second)/(tuning.ConfirmationShare*m.config.ReadRate)))
}

// CacheReached counts the confirmations that the cache, now at the revision, has caught up
// with. Without that a controller whose watch hangs would act on old cancellations.
func (m *Member) CacheReached(revision uint64) {
	waiting := m.unsettled[:0]
	for _, answer := range m.unsettled {
		if answer.revision > revision {
			waiting = append(waiting, answer)
			continue
		}
		m.readIndex = steady.Latest(m.readIndex, steady.At(answer.sent))
		if answer.sameView {
			m.fence = steady.Latest(m.fence, steady.At(answer.sent))
		}
	}
	if len(waiting) > tuning.MaxPendingConfirmations {
		waiting = waiting[len(waiting)-tuning.MaxPendingConfirmations:]
	}
	m.unsettled = waiting
}

// WatchBegins says that changes of a watch sent at that time are being applied; sent < 0:
// nobody knows when.
func (m *Member) WatchBegins(sent time.Duration) {
	m.watchSent = steady.Instant{}
	if sent >= 0 {
		m.watchSent = steady.At(sent)
	}
}

// WatchEnds says that the changes are applied.
func (m *Member) WatchEnds() { m.watchSent = steady.Instant{} }

// ViewChanged says that the cache took another view. The confirmations so far were about
// the old one; the watch that brings the new one, if it does, shows that it held at some
// time after the watch was sent.
func (m *Member) ViewChanged() { m.fence = m.watchSent }

// Confirmed is the sending time of the newest confirmation of the present view.
func (m *Member) Confirmed() steady.Instant { return m.fence }

// ReadIndex is the sending time of the newest read index that the cache has reached.
func (m *Member) ReadIndex() steady.Instant { return m.readIndex }

// HasReadIndex tells whether the cache has reached a read index asked for at or after
// that time: it then has everything that was committed before.
func (m *Member) HasReadIndex(since time.Duration) bool { return m.readIndex.Time() >= since }

// IsStateReachable tells whether the last confirmation was answered.
func (m *Member) IsStateReachable() bool { return m.stateReachable }
