package membership

import (
	"time"

	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// LeaseRequests are the requests that the lease needs now, to be sent in the order of the
// fields.
type LeaseRequests struct {
	Grant          bool // a lease, of tuning.LeaseTTL
	WriteMemberKey bool // this incarnation under the member key, attached to LeaseID
	Renew          bool // LeaseID
}

// LeaseID is the lease last granted.
func (m *Member) LeaseID() uint64 { return m.leaseID }

// Lease is where the lease and the member key stand.
func (m *Member) Lease() LeaseState { return m.lease }

// HasMemberKey tells whether the member key is written and the cache, which has the given
// incarnation under it, knows. Only such a controller may propose views.
func (m *Member) HasMemberKey(incarnationInCache string) bool {
	return m.lease == MemberKeyWritten && incarnationInCache == m.incarnation
}

// MaintainLease returns the requests due now and takes them as sent. The cache has
// incarnationInCache under this controller's member key, "" for none.
func (m *Member) MaintainLease(now time.Duration, incarnationInCache string) LeaseRequests {
	var due LeaseRequests
	switch {
	case m.lease == LeaseNone && m.nextRenewal.HasPassed(now):
		m.renewalSentAt = now
		m.lease = LeaseRequested
		due.Grant = true
	case m.lease == LeaseHeld && m.nextMemberKeyWrite.HasPassed(now):
		m.lease = MemberKeyWriting
		due.WriteMemberKey = true
	}
	if m.lease >= LeaseHeld && !m.renewing && m.nextRenewal.HasPassed(now) {
		m.renewing, m.renewalSentAt = true, now
		due.Renew = true
	}
	// The cache may show that the member key is gone although the lease lives: an older
	// incarnation's lease expired, or a late write of it came through. It gets half an
	// interval to show this incarnation's own write.
	if m.lease == MemberKeyWritten && m.synced && incarnationInCache != m.incarnation && m.nextRenewal.HasPassed(now+tuning.LeaseRenewalInterval/2) {
		m.lease = LeaseHeld
	}
	return due
}

// LeaseGranted takes the answer to the request for a lease.
func (m *Member) LeaseGranted(now time.Duration, granted bool, id uint64) {
	if !granted {
		m.nextRenewal.Set(now + tuning.ConfirmationRetry)
		m.lease = LeaseNone
		return
	}
	m.leaseID = id
	m.leaseConfirmed()
	m.lease = LeaseHeld
}

// RenewalOutcome is the state service's answer to a renewal.
type RenewalOutcome int

// The outcomes.
const (
	RenewalFailed RenewalOutcome = iota // not answered, or refused for now: try again
	Renewed
	LeaseGone // the lease expired: the member key went with it, and a new one is needed
)

// RenewalAnswered takes the answer to a renewal.
func (m *Member) RenewalAnswered(now time.Duration, outcome RenewalOutcome) {
	m.renewing = false
	switch outcome {
	case LeaseGone:
		m.nextRenewal.Set(now)
		m.lease = LeaseNone
	case Renewed:
		m.leaseConfirmed()
	default:
		m.nextRenewal.Set(now + tuning.ConfirmationRetry)
	}
}

// leaseConfirmed counts the lease from when its request was sent, the earliest time at
// which the state service can have started it.
func (m *Member) leaseConfirmed() {
	m.leaseRenewedAt = monotime.At(m.renewalSentAt)
	m.nextRenewal.Set(m.renewalSentAt + tuning.LeaseRenewalInterval)
}

// MemberKeyAnswered takes the outcome of writing the member key. A late one, of a lease
// that is gone meanwhile, says nothing.
func (m *Member) MemberKeyAnswered(now time.Duration, written bool) {
	switch {
	case m.lease != MemberKeyWriting:
	case written:
		m.lease = MemberKeyWritten
	default:
		// Not at once: a lease that expired refuses the key each time, until the
		// renewal says so.
		m.nextMemberKeyWrite.Set(now + tuning.ConfirmationRetry)
		m.nextRenewal.BringForward(now + tuning.ConfirmationRetry)
		m.lease = LeaseHeld
	}
}
