package membership

import (
	"testing"
	"time"

	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

const (
	fenceAge           = 7 * time.Second
	ownIncarnation     = "c-0.1"
	earlierIncarnation = "c-0.0" // of an earlier process of the same controller
)

func newMember() *Member {
	m := New(Config{FenceAge: fenceAge}, ownIncarnation)
	return &m
}

// memberInState returns a member whose lease is in the given state. The lease was requested
// at time 0 and, if granted, has ID 5.
func memberInState(t *testing.T, want LeaseState) *Member {
	t.Helper()
	m := newMember()
	m.CacheLoaded()
	steps := []func(){
		func() { m.MaintainLease(0, "") },
		func() { m.LeaseAnswered(0, true, 5) },
		func() { m.MaintainLease(0, "") },
		func() { m.MemberKeyAnswered(0, true) },
	}
	for _, step := range steps[:want] {
		step()
	}
	if m.Lease() != want {
		t.Fatalf("lease is %v, want %v", m.Lease(), want)
	}
	return m
}

// confirmedAtZero returns a member whose lease and view were confirmed at time 0, and which
// may act.
func confirmedAtZero(t *testing.T) *Member {
	t.Helper()
	m := memberInState(t, MemberKeyWritten)
	if !m.StartConfirmation(0, monotime.Instant{}) {
		t.Fatal("the first confirmation is not due")
	}
	m.ConfirmationAnswered(time.Millisecond, true, 10)
	m.CacheReached(10)
	if !m.MayAct(time.Millisecond, ownIncarnation) {
		t.Fatal("may not act although lease and view are confirmed")
	}
	return m
}

// TestLeaseTransitions checks which state each response leads to from each state, and when
// the next request for a lease or its renewal is due.
func TestLeaseTransitions(t *testing.T) {
	const now = 3 * time.Second
	for name, test := range map[string]struct {
		from, to    LeaseState
		event       func(m *Member)
		nextRequest time.Duration // when a lease or renewal is next requested; < 0: not checked
	}{
		"lease granted":                                     {LeaseRequested, LeaseHeld, func(m *Member) { m.LeaseAnswered(now, true, 7) }, tuning.LeaseRenewalInterval},
		"lease refused":                                     {LeaseRequested, LeaseNone, func(m *Member) { m.LeaseAnswered(now, false, 0) }, now + tuning.ConfirmationRetry},
		"member key written":                                {MemberKeyWriting, MemberKeyWritten, func(m *Member) { m.MemberKeyAnswered(now, true) }, -1},
		"member key refused":                                {MemberKeyWriting, LeaseHeld, func(m *Member) { m.MemberKeyAnswered(time.Second, false) }, time.Second + tuning.ConfirmationRetry},
		"late member key response without a lease":          {LeaseNone, LeaseNone, func(m *Member) { m.MemberKeyAnswered(now, true) }, 0},
		"late member key response while requesting a lease": {LeaseRequested, LeaseRequested, func(m *Member) { m.MemberKeyAnswered(now, true) }, -1},
		"late member key response before writing":           {LeaseHeld, LeaseHeld, func(m *Member) { m.MemberKeyAnswered(now, true) }, -1},
		"late refusal after the member key is written":      {MemberKeyWritten, MemberKeyWritten, func(m *Member) { m.MemberKeyAnswered(now, false) }, tuning.LeaseRenewalInterval},
		"renewal succeeded":                                 {MemberKeyWritten, MemberKeyWritten, func(m *Member) { m.RenewalAnswered(now, Renewed) }, tuning.LeaseRenewalInterval},
		"renewal failed":                                    {MemberKeyWritten, MemberKeyWritten, func(m *Member) { m.RenewalAnswered(now, RenewalFailed) }, now + tuning.ConfirmationRetry},
		"lease expired":                                     {MemberKeyWritten, LeaseNone, func(m *Member) { m.RenewalAnswered(now, LeaseGone) }, now},
		"lease expired while writing the member key":        {MemberKeyWriting, LeaseNone, func(m *Member) { m.RenewalAnswered(now, LeaseGone) }, now},
	} {
		m := memberInState(t, test.from)
		test.event(m)
		if m.Lease() != test.to {
			t.Errorf("%s: state is %v, want %v", name, m.Lease(), test.to)
		}
		if test.nextRequest < 0 {
			continue
		}
		if due := m.MaintainLease(test.nextRequest-1, ownIncarnation); due.Grant || due.Renew {
			t.Errorf("%s: a lease or renewal is requested before %v", name, test.nextRequest)
		}
		due := m.MaintainLease(test.nextRequest, ownIncarnation)
		if due.Grant != (test.to == LeaseNone) || due.Renew != (test.to >= LeaseHeld) {
			t.Errorf("%s: wrong requests at %v: %+v", name, test.nextRequest, due)
		}
	}
}

// TestLeaseRequestsOnce checks that no request is sent again before its response.
func TestLeaseRequestsOnce(t *testing.T) {
	m := newMember()
	if due := m.MaintainLease(0, ""); due != (LeaseRequests{Grant: true}) {
		t.Errorf("requests at the start: %+v", due)
	}
	if due := m.MaintainLease(time.Minute, ""); due != (LeaseRequests{}) {
		t.Errorf("requests while a lease is requested: %+v", due)
	}
	m.LeaseAnswered(time.Minute, true, 5)
	if due := m.MaintainLease(time.Minute, ""); due != (LeaseRequests{WriteMemberKey: true, Renew: true}) || m.LeaseID() != 5 {
		t.Errorf("requests after a late grant: %+v of lease %d", due, m.LeaseID())
	}
	if due := m.MaintainLease(2*time.Minute, ""); due != (LeaseRequests{}) {
		t.Errorf("requests while both are in flight: %+v", due)
	}
}

// TestRefusedMemberKeyWaits checks that a refused member key is not retried immediately, since an
// expired lease refuses it every time, and that the renewal, which would show that the lease
// has expired, is due no later than the retry.
func TestRefusedMemberKeyWaits(t *testing.T) {
	m := memberInState(t, MemberKeyWriting)
	m.MemberKeyAnswered(time.Second, false)
	if due := m.MaintainLease(time.Second+tuning.ConfirmationRetry-1, ""); due != (LeaseRequests{}) {
		t.Errorf("requests before the pause is over: %+v", due)
	}
	if due := m.MaintainLease(time.Second+tuning.ConfirmationRetry, ""); due != (LeaseRequests{WriteMemberKey: true, Renew: true}) {
		t.Errorf("requests after the pause: %+v", due)
	}
}

// TestMissingMemberKeyIsWrittenAgain checks that the member key is written again if the cache
// keeps showing another incarnation, or none, under it although the lease is alive.
func TestMissingMemberKeyIsWrittenAgain(t *testing.T) {
	const grace = tuning.LeaseRenewalInterval / 2
	for cached, want := range map[string]LeaseState{ownIncarnation: MemberKeyWritten, "": LeaseHeld, earlierIncarnation: LeaseHeld} {
		m := memberInState(t, MemberKeyWritten)
		if m.MaintainLease(grace-1, cached); m.Lease() != MemberKeyWritten {
			t.Errorf("%q in the cache: state is %v before the cache can show the own write", cached, m.Lease())
		}
		m.MaintainLease(grace, cached)
		if m.Lease() != want {
			t.Errorf("%q in the cache: state is %v, want %v", cached, m.Lease(), want)
		}
		if due := m.MaintainLease(grace, cached); due.WriteMemberKey != (want == LeaseHeld) {
			t.Errorf("%q in the cache: wrong requests next: %+v", cached, due)
		}
	}
	m := newMember() // the cache is not loaded, so what it shows must not count
	m.MaintainLease(0, "")
	m.LeaseAnswered(0, true, 5)
	m.MaintainLease(0, "")
	m.MemberKeyAnswered(0, true)
	if m.MaintainLease(grace, ""); m.Lease() != MemberKeyWritten {
		t.Errorf("before the cache is loaded the state is %v", m.Lease())
	}
}

func TestHasMemberKey(t *testing.T) {
	if m := memberInState(t, MemberKeyWritten); !m.HasMemberKey(ownIncarnation) || m.HasMemberKey(earlierIncarnation) || m.HasMemberKey("") {
		t.Error("the member key must count if the cache has this incarnation under it, and only then")
	}
	if memberInState(t, MemberKeyWriting).HasMemberKey(ownIncarnation) {
		t.Error("the member key counts before it is written")
	}
}

// TestMayAct checks that a controller may act exactly while both the view and the lease were
// confirmed by requests sent less than the fence age ago, and only under a view that has this
// incarnation.
func TestMayAct(t *testing.T) {
	renewAt := func(m *Member, sent, answered time.Duration) {
		if due := m.MaintainLease(sent, ownIncarnation); !due.Renew {
			t.Fatalf("no renewal is due at %v", sent)
		}
		m.RenewalAnswered(answered, Renewed)
	}
	confirmAt := func(m *Member, sent, answered time.Duration) {
		if !m.StartConfirmation(sent, monotime.Instant{}) {
			t.Fatalf("no confirmation is due at %v", sent)
		}
		m.ConfirmationAnswered(answered, true, 10)
		m.CacheReached(10)
	}
	for name, test := range map[string]struct {
		event func(m *Member)
		until time.Duration // may act just before this time, and not from then on
	}{
		"no further responses":                {func(*Member) {}, fenceAge},
		"only the lease renewed":              {func(m *Member) { renewAt(m, 2*time.Second, 3*time.Second) }, fenceAge},
		"only the view confirmed":             {func(m *Member) { confirmAt(m, 2*time.Second, 3*time.Second) }, fenceAge},
		"both count from when they were sent": {func(m *Member) { renewAt(m, 2*time.Second, 6*time.Second); confirmAt(m, 3*time.Second, 6*time.Second) }, 2*time.Second + fenceAge},
		"renewal failed": {func(m *Member) {
			confirmAt(m, 2*time.Second, 3*time.Second)
			m.MaintainLease(2*time.Second, ownIncarnation)
			m.RenewalAnswered(3*time.Second, RenewalFailed)
		}, fenceAge},
		"lease expired": {func(m *Member) {
			confirmAt(m, 2*time.Second, 3*time.Second)
			m.MaintainLease(2*time.Second, ownIncarnation)
			m.RenewalAnswered(3*time.Second, LeaseGone)
		}, fenceAge},
		"confirmation without response": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.StartConfirmation(2*time.Second, monotime.Instant{})
			m.ConfirmationFailed(3 * time.Second)
		}, fenceAge},
		"response about another view": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.StartConfirmation(2*time.Second, monotime.Instant{})
			m.ConfirmationAnswered(3*time.Second, false, 10)
			m.CacheReached(10)
		}, fenceAge},
		"cache does not reach the revision": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.StartConfirmation(2*time.Second, monotime.Instant{})
			m.ConfirmationAnswered(3*time.Second, true, 11)
			m.CacheReached(10)
		}, fenceAge},
		"new view from a watch of unknown time": {func(m *Member) { m.BeginWatchUpdate(-1); m.ViewChanged(); m.EndWatchUpdate() }, 0},
		"new view outside of a watch":           {func(m *Member) { m.BeginWatchUpdate(5 * time.Second); m.EndWatchUpdate(); m.ViewChanged() }, 0},
		"new view from a watch": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.BeginWatchUpdate(time.Second)
			m.ViewChanged()
			m.EndWatchUpdate()
		}, time.Second + fenceAge},
	} {
		m := confirmedAtZero(t)
		test.event(m)
		if test.until > 0 && !m.MayAct(test.until-1, ownIncarnation) {
			t.Errorf("%s: may not act just before %v", name, test.until)
		}
		if m.MayAct(test.until, ownIncarnation) {
			t.Errorf("%s: may still act at %v", name, test.until)
		}
		if m.MayAct(0, earlierIncarnation) || m.MayAct(0, "") {
			t.Errorf("%s: may act under a view that lacks this incarnation", name)
		}
	}
	m := newMember()
	m.viewConfirmedAt, m.leaseRenewedAt = monotime.At(0), monotime.At(0)
	if m.MayAct(0, ownIncarnation) {
		t.Error("may act before the cache holds a snapshot")
	}
	if m.CacheLoaded(); !m.MayAct(0, ownIncarnation) {
		t.Error("may not act once the cache holds a snapshot")
	}
}

// TestConfirmationSchedule checks that the first confirmation is due immediately and then one
// each interval, sooner for waiting readers, and that only one is in flight at a time.
func TestConfirmationSchedule(t *testing.T) {
	const gap, retry = tuning.MinConfirmationGap, tuning.ConfirmationRetry
	none := monotime.Instant{}
	for name, test := range map[string]struct {
		event  func(m *Member)
		reader monotime.Instant
		due    time.Duration
	}{
		"no reader":                                {func(*Member) {}, none, tuning.ConfirmationInterval},
		"a reader, within the gap":                 {func(*Member) {}, monotime.At(time.Millisecond), time.Millisecond + gap},
		"a reader at the same time":                {func(*Member) {}, monotime.At(0), time.Millisecond + gap},
		"no response":                              {func(m *Member) { m.StartConfirmation(2*time.Second, none); m.ConfirmationFailed(3 * time.Second) }, monotime.At(2 * time.Second), 3*time.Second + retry},
		"confirmation wanted soon, within the gap": {func(m *Member) { m.ConfirmSoon(5 * time.Millisecond) }, monotime.At(time.Millisecond), 5 * time.Millisecond},
		"confirmation wanted soon, after the gap":  {func(m *Member) { m.ConfirmSoon(time.Second) }, monotime.At(time.Millisecond), time.Millisecond + gap},
		"view changed":                             {func(m *Member) { m.ViewChanged() }, none, time.Millisecond + gap},
	} {
		m := confirmedAtZero(t)
		test.event(m)
		if m.StartConfirmation(test.due-1, test.reader) {
			t.Errorf("%s: a confirmation is sent before %v", name, test.due)
			continue
		}
		if !m.StartConfirmation(test.due, test.reader) {
			t.Errorf("%s: no confirmation is sent at %v", name, test.due)
		}
		if m.StartConfirmation(time.Hour, test.reader) {
			t.Errorf("%s: a second confirmation is sent while the first is in flight", name)
		}
	}
	m := confirmedAtZero(t)
	m.StartConfirmation(2*time.Second, none)
	m.ConfirmationAnswered(3*time.Second, true, 10)
	if m.StartConfirmation(3*time.Second+gap, monotime.At(2*time.Second-1)) {
		t.Error("a confirmation is sent for a reader that the previous one serves")
	}
	if newMember().StartConfirmation(0, none) {
		t.Error("a confirmation is sent before the cache is loaded")
	}
	slow := New(Config{FenceAge: fenceAge, ReadRate: 1}, ownIncarnation)
	second := float64(time.Second)
	if got, want := slow.confirmationGap(), time.Duration(second/tuning.ConfirmationShare); got != want {
		t.Errorf("at one read per second the gap is %v, want %v", got, want)
	}
}

// TestReadIndex checks that a read index is reached once the cache has the revision that the
// confirmation saw, whether or not the view was confirmed, and that it counts from when the
// confirmation was sent.
func TestReadIndex(t *testing.T) {
	m := confirmedAtZero(t)
	if !m.HasReadIndex(0) || m.HasReadIndex(1) {
		t.Errorf("read index at %v, want 0", m.ReadIndex().Time())
	}
	m.StartConfirmation(2*time.Second, monotime.Instant{})
	m.ConfirmationAnswered(3*time.Second, false, 12)
	if m.CacheReached(11); m.HasReadIndex(1) {
		t.Error("the read index is reached before the cache has its revision")
	}
	if m.CacheReached(12); !m.HasReadIndex(2*time.Second) || m.HasReadIndex(2*time.Second+1) {
		t.Errorf("read index at %v, want 2s", m.ReadIndex().Time())
	}
	if m.ViewConfirmedAt() != monotime.At(0) {
		t.Errorf("a response about another view counts as a confirmation at %v", m.ViewConfirmedAt().Time())
	}
	if newMember().HasReadIndex(0) {
		t.Error("a controller that never confirmed has a read index")
	}
}

// TestAwaitingCacheIsBounded checks that only the newest confirmations are kept while the
// watch hangs.
func TestAwaitingCacheIsBounded(t *testing.T) {
	m := confirmedAtZero(t)
	for i := 1; i <= 20; i++ {
		now := time.Duration(i) * tuning.ConfirmationInterval
		if !m.StartConfirmation(now, monotime.Instant{}) {
			t.Fatal("no confirmation is due")
		}
		m.ConfirmationAnswered(now, true, uint64(100+i))
		m.CacheReached(10)
	}
	if len(m.awaitingCache) != tuning.MaxPendingConfirmations {
		t.Errorf("%d confirmations are kept", len(m.awaitingCache))
	}
	if m.CacheReached(104); m.HasReadIndex(1) {
		t.Error("a dropped confirmation counts")
	}
	if m.CacheReached(105); !m.HasReadIndex(5 * tuning.ConfirmationInterval) {
		t.Error("the oldest confirmation kept doesn't count")
	}
}

// TestReadiness checks that a ready controller becomes unready only after another one has
// been the better choice without interruption.
func TestReadiness(t *testing.T) {
	m := newMember()
	if m.IsReady() {
		t.Error("ready before BecomeReady")
	}
	m.BecomeReady()
	const start = time.Minute
	m.MaybeBecomeUnready(start, true)
	if m.MaybeBecomeUnready(start+tuning.UnreadyDelay, true); !m.IsReady() {
		t.Error("becomes unready too early")
	}
	m.MaybeBecomeUnready(start+tuning.UnreadyDelay+1, false)
	if m.MaybeBecomeUnready(start+2*tuning.UnreadyDelay, true); !m.IsReady() {
		t.Error("becomes unready although the other controller's advantage was interrupted")
	}
	if m.MaybeBecomeUnready(start+3*tuning.UnreadyDelay+1, true); m.IsReady() {
		t.Error("stays ready although another controller was better for longer than tuning.UnreadyDelay")
	}
	m.BecomeReady()
	if m.MaybeBecomeUnready(start+9*tuning.UnreadyDelay, true); !m.IsReady() {
		t.Error("becomes unready at once after it was ready again")
	}
}

func TestStateReachability(t *testing.T) {
	m := newMember()
	if m.HasRecentStateResponse(0) || m.IsStateReachable() {
		t.Error("reachable before any response")
	}
	m = confirmedAtZero(t)
	if !m.IsStateReachable() || !m.HasRecentStateResponse(tuning.UsableAge-1) || m.HasRecentStateResponse(tuning.UsableAge) {
		t.Error("a response must count until it is as old as tuning.UsableAge")
	}
	m.StartConfirmation(2*time.Second, monotime.Instant{})
	m.ConfirmationFailed(2 * time.Second)
	if m.IsStateReachable() || !m.HasRecentStateResponse(tuning.UsableAge-1) {
		t.Error("a failure must show at once in IsStateReachable and not in HasRecentStateResponse")
	}
}

// TestLeaseCountsFromItsRequest checks that a lease's age counts from the request that was
// granted, not from an earlier one that was refused, and that the renewals follow at the
// renewal interval.
func TestLeaseCountsFromItsRequest(t *testing.T) {
	const granted = 10 * time.Second
	m := newMember()
	m.CacheLoaded()
	m.MaintainLease(0, "")
	m.LeaseAnswered(time.Second, false, 0)
	if due := m.MaintainLease(granted, ""); !due.Grant {
		t.Fatal("a lease that was refused is not requested again")
	}
	m.LeaseAnswered(granted+time.Second, true, 5)
	for i := time.Duration(1); i <= 3; i++ {
		at := granted + i*tuning.LeaseRenewalInterval
		if m.MaintainLease(at-1, ownIncarnation).Renew || !m.MaintainLease(at, ownIncarnation).Renew {
			t.Errorf("renewal %d is not due at %v", i, at)
		}
		m.RenewalAnswered(at+time.Millisecond, Renewed)
	}
}
