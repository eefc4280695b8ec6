package membership

import (
	"time"

	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// StartConfirmation reports whether a confirmation of the view is due, and records it as sent
// if so. newestReader is when the newest of the requests that wait for a read index came in;
// unset if none waits.
func (m *Member) StartConfirmation(now time.Duration, newestReader monotime.Instant) bool {
	if m.confirming || !m.synced || !m.nextConfirmation.HasPassed(now) {
		return false
	}
	readerWaits := newestReader.IsSet() && newestReader.Time() >= m.confirmationSentAt
	if now-m.confirmationSentAt < tuning.ConfirmationInterval && m.viewConfirmedAt.IsSet() && !readerWaits {
		return false
	}
	m.confirming, m.confirmationSentAt = true, now
	return true
}

// ConfirmSoon ends the pause before the next confirmation, which is then sent immediately if it
// is due (StartConfirmation).
func (m *Member) ConfirmSoon(now time.Duration) { m.nextConfirmation.BringForward(now) }

// ConfirmationAnswered records the state service's response to a confirmation. sameView reports
// whether the current view is still the one asked about. The response counts once the cache
// has reached revision (CacheReached).
func (m *Member) ConfirmationAnswered(now time.Duration, sameView bool, revision uint64) {
	m.confirming, m.stateReachable = false, true
	m.nextConfirmation.Set(now + m.confirmationGap())
	m.stateAnsweredAt = monotime.At(m.confirmationSentAt)
	m.awaitingCache = append(m.awaitingCache, pendingConfirmation{m.confirmationSentAt, revision, sameView})
}

// ConfirmationFailed records that the confirmation got no response.
func (m *Member) ConfirmationFailed(now time.Duration) {
	m.confirming, m.stateReachable = false, false
	m.nextConfirmation.Set(now + tuning.ConfirmationRetry)
}

// confirmationGap returns the pause between the response to a confirmation and the next
// confirmation. It limits the confirmations that readers cause to tuning.ConfirmationShare of
// the requests that this controller plans to make.
func (m *Member) confirmationGap() time.Duration {
	if m.config.ReadRate <= 0 {
		return tuning.MinConfirmationGap
	}
	return max(tuning.MinConfirmationGap, time.Duration(float64(time.Second)/(tuning.ConfirmationShare*m.config.ReadRate)))
}

// CacheReached counts the confirmations that the cache has caught up with, given the revision
// that it has reached. If confirmations counted earlier, a controller whose watch hangs would
// act on outdated state, without the cancellations committed since.
func (m *Member) CacheReached(revision uint64) {
	behind := m.awaitingCache[:0]
	for _, answer := range m.awaitingCache {
		if answer.revision > revision {
			behind = append(behind, answer)
			continue
		}
		m.readIndex = monotime.Latest(m.readIndex, monotime.At(answer.sent))
		if answer.sameView {
			m.viewConfirmedAt = monotime.Latest(m.viewConfirmedAt, monotime.At(answer.sent))
		}
	}
	if len(behind) > tuning.MaxPendingConfirmations {
		behind = behind[len(behind)-tuning.MaxPendingConfirmations:]
	}
	m.awaitingCache = behind
}

// BeginWatchUpdate records that changes delivered by a watch are about to be applied to the
// cache. sent is when that watch was sent; negative if unknown.
func (m *Member) BeginWatchUpdate(sent time.Duration) {
	m.watchSentAt = monotime.Instant{}
	if sent >= 0 {
		m.watchSentAt = monotime.At(sent)
	}
}

// EndWatchUpdate records that the changes delivered by the watch have been applied.
func (m *Member) EndWatchUpdate() { m.watchSentAt = monotime.Instant{} }

// ViewChanged records that the cache has taken another view, which voids the confirmations of
// the old one. If a watch delivered the new view, that view was in force at some time after
// the watch was sent, so the sending time of the watch counts as that of a confirmation.
func (m *Member) ViewChanged() { m.viewConfirmedAt = m.watchSentAt }

// ViewConfirmedAt returns when the newest confirmation of the current view was sent; unset if
// it was never confirmed.
func (m *Member) ViewConfirmedAt() monotime.Instant { return m.viewConfirmedAt }

// ReadIndex returns when the newest read index that the cache has reached was requested;
// unset if there is none.
func (m *Member) ReadIndex() monotime.Instant { return m.readIndex }

// HasReadIndex reports whether the cache has reached a read index that was requested at or
// after since. The cache then has everything that was committed before since.
func (m *Member) HasReadIndex(since time.Duration) bool { return m.readIndex.Time() >= since }

// IsStateReachable reports whether the last confirmation got a response.
func (m *Member) IsStateReachable() bool { return m.stateReachable }
