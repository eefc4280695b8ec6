package membership

import (
	"time"

	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// LeaseRequests are the requests for the lease and the member key that are due, to be sent in
// the order of the fields.
type LeaseRequests struct {
	Grant          bool // request a lease of tuning.LeaseTTL
	WriteMemberKey bool // write this incarnation under the member key, attached to LeaseID
	Renew          bool // renew LeaseID
}

// LeaseID returns the ID of the latest lease that the state service granted.
func (m *Member) LeaseID() uint64 { return m.leaseID }

// Lease returns the state of the lease and the member key.
func (m *Member) Lease() LeaseState { return m.lease }

// HasMemberKey reports whether the member key is written and has reached the cache, where the
// key's value is incarnationInCache. Only a controller with a member key may propose views.
func (m *Member) HasMemberKey(incarnationInCache string) bool {
	return m.lease == MemberKeyWritten && incarnationInCache == m.incarnation
}

// MaintainLease returns the requests due now and records them as sent. incarnationInCache is
// the value of this controller's member key in the cache, "" if the cache has none.
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
	// The cache may lack this incarnation's member key although the lease is alive: the lease
	// of an earlier incarnation expired and took the key with it, or a late write of that
	// incarnation overwrote the key. The cache gets half a renewal interval to show this
	// incarnation's own write.
	if m.lease == MemberKeyWritten && m.synced && incarnationInCache != m.incarnation && m.nextRenewal.HasPassed(now+tuning.LeaseRenewalInterval/2) {
		m.lease = LeaseHeld
	}
	return due
}

// LeaseAnswered records the response to the request for a lease. id is the ID of the lease
// if it was granted.
func (m *Member) LeaseAnswered(now time.Duration, granted bool, id uint64) {
	if !granted {
		m.nextRenewal.Set(now + tuning.ConfirmationRetry)
		m.lease = LeaseNone
		return
	}
	m.leaseID = id
	m.leaseConfirmed()
	m.lease = LeaseHeld
}

// RenewalOutcome is the result of a request to renew the lease.
type RenewalOutcome int

// The outcomes of a renewal.
const (
	RenewalFailed RenewalOutcome = iota // no response, or refused for now; it is retried
	Renewed
	LeaseGone // the lease expired and the member key with it; a new lease is needed
)

// RenewalAnswered records the outcome of a renewal.
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

// leaseConfirmed counts the lease's age from when its request was sent, the earliest time at
// which the state service can have started it.
func (m *Member) leaseConfirmed() {
	m.leaseRenewedAt = monotime.At(m.renewalSentAt)
	m.nextRenewal.Set(m.renewalSentAt + tuning.LeaseRenewalInterval)
}

// MemberKeyAnswered records whether the member key was written. A late response, about a
// lease that is gone by now, is ignored.
func (m *Member) MemberKeyAnswered(now time.Duration, written bool) {
	switch {
	case m.lease != MemberKeyWriting:
	case written:
		m.lease = MemberKeyWritten
	default:
		// The retry is delayed: a lease that has expired refuses the key every time, until
		// the response to a renewal shows that the lease is gone.
		m.nextMemberKeyWrite.Set(now + tuning.ConfirmationRetry)
		m.nextRenewal.BringForward(now + tuning.ConfirmationRetry)
		m.lease = LeaseHeld
	}
}
