package membership

import (
	"testing"
	"time"

	"brassglade/internal/steady"
	"brassglade/internal/tuning"
)

const (
	fenceAge = 7 * time.Second
	own      = "c-0.1"
	earlier  = "c-0.0" // an earlier process of the same controller
)

func started() *Member {
	m := New(Config{FenceAge: fenceAge}, own)
	return &m
}

// inState is a controller whose lease stands at that state; its lease was requested at
// time 0 and, if granted, has ID 5.
func inState(t *testing.T, want LeaseState) *Member {
	t.Helper()
	m := started()
	m.CacheLoaded()
	steps := []func(){
		func() { m.MaintainLease(0, "") },
		func() { m.LeaseGranted(0, true, 5) },
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

// confirmedAtZero is a controller that may act as of time 0.
func confirmedAtZero(t *testing.T) *Member {
	t.Helper()
	m := inState(t, MemberKeyWritten)
	if !m.StartConfirmation(0, steady.Instant{}) {
		t.Fatal("the first confirmation is not due")
	}
	m.ConfirmationAnswered(time.Millisecond, true, 10)
	m.CacheReached(10)
	if !m.MayAct(time.Millisecond, own) {
		t.Fatal("may not act")
	}
	return m
}

// TestLeaseTransitions: where each answer leads from each state, and when the next
// request for a lease or its renewal is due.
func TestLeaseTransitions(t *testing.T) {
	const now = 3 * time.Second
	for name, x := range map[string]struct {
		from, to LeaseState
		happens  func(m *Member)
		again    time.Duration // when a lease or renewal is next requested; < 0: not looked at
	}{
		"a lease is granted":             {LeaseRequested, LeaseHeld, func(m *Member) { m.LeaseGranted(now, true, 7) }, tuning.LeaseRenewalInterval},
		"a lease is refused":             {LeaseRequested, LeaseNone, func(m *Member) { m.LeaseGranted(now, false, 0) }, now + tuning.ConfirmationRetry},
		"the member key is written":      {MemberKeyWriting, MemberKeyWritten, func(m *Member) { m.MemberKeyAnswered(now, true) }, -1},
		"the member key is refused":      {MemberKeyWriting, LeaseHeld, func(m *Member) { m.MemberKeyAnswered(time.Second, false) }, time.Second + tuning.ConfirmationRetry},
		"a late answer without a lease":  {LeaseNone, LeaseNone, func(m *Member) { m.MemberKeyAnswered(now, true) }, 0},
		"a late answer while requesting": {LeaseRequested, LeaseRequested, func(m *Member) { m.MemberKeyAnswered(now, true) }, -1},
		"a late answer before writing":   {LeaseHeld, LeaseHeld, func(m *Member) { m.MemberKeyAnswered(now, true) }, -1},
		"a late refusal once written":    {MemberKeyWritten, MemberKeyWritten, func(m *Member) { m.MemberKeyAnswered(now, false) }, tuning.LeaseRenewalInterval},
		"renewed":                        {MemberKeyWritten, MemberKeyWritten, func(m *Member) { m.RenewalAnswered(now, Renewed) }, tuning.LeaseRenewalInterval},
		"a renewal is lost":              {MemberKeyWritten, MemberKeyWritten, func(m *Member) { m.RenewalAnswered(now, RenewalFailed) }, now + tuning.ConfirmationRetry},
		"the lease is gone":              {MemberKeyWritten, LeaseNone, func(m *Member) { m.RenewalAnswered(now, LeaseGone) }, now},
		"gone while the key is written":  {MemberKeyWriting, LeaseNone, func(m *Member) { m.RenewalAnswered(now, LeaseGone) }, now},
	} {
		m := inState(t, x.from)
		x.happens(m)
		if m.Lease() != x.to {
			t.Errorf("%s: leads to %v, want %v", name, m.Lease(), x.to)
		}
		if x.again < 0 {
			continue
		}
		if due := m.MaintainLease(x.again-1, own); due.Grant || due.Renew {
			t.Errorf("%s: requested before %v", name, x.again)
		}
		due := m.MaintainLease(x.again, own)
		if due.Grant != (x.to == LeaseNone) || due.Renew != (x.to >= LeaseHeld) {
			t.Errorf("%s: at %v %+v", name, x.again, due)
		}
	}
}

// TestLeaseRequestsOnce: what was sent is not sent again before its answer.
func TestLeaseRequestsOnce(t *testing.T) {
	m := started()
	if due := m.MaintainLease(0, ""); due != (LeaseRequests{Grant: true}) {
		t.Errorf("at the start: %+v", due)
	}
	if due := m.MaintainLease(time.Minute, ""); due != (LeaseRequests{}) {
		t.Errorf("while a lease is requested: %+v", due)
	}
	m.LeaseGranted(time.Minute, true, 5)
	if due := m.MaintainLease(time.Minute, ""); due != (LeaseRequests{WriteMemberKey: true, Renew: true}) || m.LeaseID() != 5 {
		t.Errorf("once granted, late: %+v of lease %d", due, m.LeaseID())
	}
	if due := m.MaintainLease(2*time.Minute, ""); due != (LeaseRequests{}) {
		t.Errorf("while both are under way: %+v", due)
	}
}

// TestRefusedMemberKeyWaits: a lease that expired refuses the member key each time, so the
// next try waits, and the renewal that tells comes no later.
func TestRefusedMemberKeyWaits(t *testing.T) {
	m := inState(t, MemberKeyWriting)
	m.MemberKeyAnswered(time.Second, false)
	if due := m.MaintainLease(time.Second+tuning.ConfirmationRetry-1, ""); due != (LeaseRequests{}) {
		t.Errorf("at once: %+v", due)
	}
	if due := m.MaintainLease(time.Second+tuning.ConfirmationRetry, ""); due != (LeaseRequests{WriteMemberKey: true, Renew: true}) {
		t.Errorf("after the pause: %+v", due)
	}
}

// TestMissingMemberKeyIsWrittenAgain: the cache may show another incarnation, or none,
// under the member key although the lease lives.
func TestMissingMemberKeyIsWrittenAgain(t *testing.T) {
	const patience = tuning.LeaseRenewalInterval / 2
	for cached, want := range map[string]LeaseState{own: MemberKeyWritten, "": LeaseHeld, earlier: LeaseHeld} {
		m := inState(t, MemberKeyWritten)
		if m.MaintainLease(patience-1, cached); m.Lease() != MemberKeyWritten {
			t.Errorf("%q in the cache: %v before the own write can show", cached, m.Lease())
		}
		m.MaintainLease(patience, cached)
		if m.Lease() != want {
			t.Errorf("%q in the cache: %v, want %v", cached, m.Lease(), want)
		}
		if due := m.MaintainLease(patience, cached); due.WriteMemberKey != (want == LeaseHeld) {
			t.Errorf("%q in the cache: then %+v", cached, due)
		}
	}
	m := started() // the cache says nothing before it is loaded
	m.MaintainLease(0, "")
	m.LeaseGranted(0, true, 5)
	m.MaintainLease(0, "")
	m.MemberKeyAnswered(0, true)
	if m.MaintainLease(patience, ""); m.Lease() != MemberKeyWritten {
		t.Errorf("with an empty cache: %v", m.Lease())
	}
}

func TestHasMemberKey(t *testing.T) {
	if m := inState(t, MemberKeyWritten); !m.HasMemberKey(own) || m.HasMemberKey(earlier) || m.HasMemberKey("") {
		t.Error("the cache must have this incarnation")
	}
	if inState(t, MemberKeyWriting).HasMemberKey(own) {
		t.Error("the member key is not written yet")
	}
}

// TestFence: a controller acts while both view and lease were confirmed by requests sent
// less than the fence age ago, under a view that has this incarnation, and no longer.
func TestFence(t *testing.T) {
	renewAt := func(m *Member, sent, answered time.Duration) {
		if due := m.MaintainLease(sent, own); !due.Renew {
			t.Fatalf("no renewal at %v", sent)
		}
		m.RenewalAnswered(answered, Renewed)
	}
	confirmAt := func(m *Member, sent, answered time.Duration) {
		if !m.StartConfirmation(sent, steady.Instant{}) {
			t.Fatalf("no confirmation at %v", sent)
		}
		m.ConfirmationAnswered(answered, true, 10)
		m.CacheReached(10)
	}
	for name, x := range map[string]struct {
		happens func(m *Member)
		until   time.Duration // acts just before, not from then on
	}{
		"nothing more comes":      {func(*Member) {}, fenceAge},
		"only the lease":          {func(m *Member) { renewAt(m, 2*time.Second, 3*time.Second) }, fenceAge},
		"only the view":           {func(m *Member) { confirmAt(m, 2*time.Second, 3*time.Second) }, fenceAge},
		"both count from sending": {func(m *Member) { renewAt(m, 2*time.Second, 6*time.Second); confirmAt(m, 3*time.Second, 6*time.Second) }, 2*time.Second + fenceAge},
		"a lost renewal": {func(m *Member) {
			confirmAt(m, 2*time.Second, 3*time.Second)
			m.MaintainLease(2*time.Second, own)
			m.RenewalAnswered(3*time.Second, RenewalFailed)
		}, fenceAge},
		"a lease that is gone": {func(m *Member) {
			confirmAt(m, 2*time.Second, 3*time.Second)
			m.MaintainLease(2*time.Second, own)
			m.RenewalAnswered(3*time.Second, LeaseGone)
		}, fenceAge},
		"an unanswered confirmation": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.StartConfirmation(2*time.Second, steady.Instant{})
			m.ConfirmationFailed(3 * time.Second)
		}, fenceAge},
		"another view is confirmed": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.StartConfirmation(2*time.Second, steady.Instant{})
			m.ConfirmationAnswered(3*time.Second, false, 10)
			m.CacheReached(10)
		}, fenceAge},
		"the cache hangs": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.StartConfirmation(2*time.Second, steady.Instant{})
			m.ConfirmationAnswered(3*time.Second, true, 11)
			m.CacheReached(10)
		}, fenceAge},
		"a view by a watch of unknown time": {func(m *Member) { m.WatchBegins(-1); m.ViewChanged(); m.WatchEnds() }, 0},
		"a view outside of a watch":         {func(m *Member) { m.WatchBegins(5 * time.Second); m.WatchEnds(); m.ViewChanged() }, 0},
		"a view by a watch": {func(m *Member) {
			renewAt(m, 2*time.Second, 3*time.Second)
			m.WatchBegins(time.Second)
			m.ViewChanged()
			m.WatchEnds()
		}, time.Second + fenceAge},
	} {
		m := confirmedAtZero(t)
		x.happens(m)
		if x.until > 0 && !m.MayAct(x.until-1, own) {
			t.Errorf("%s: doesn't act just before %v", name, x.until)
		}
		if m.MayAct(x.until, own) {
			t.Errorf("%s: still acts at %v", name, x.until)
		}
		if m.MayAct(0, earlier) || m.MayAct(0, "") {
			t.Errorf("%s: acts under a view that hasn't this incarnation", name)
		}
	}
	m := started()
	m.fence, m.leaseRenewed = steady.At(0), steady.At(0)
	if m.MayAct(0, own) {
		t.Error("acts before its cache holds a snapshot")
	}
	if m.CacheLoaded(); !m.MayAct(0, own) {
		t.Error("doesn't act once its cache holds a snapshot")
	}
}

// TestConfirmationsAreDue: the first at once, then one each interval, sooner for readers,
// one at a time.
func TestConfirmationsAreDue(t *testing.T) {
	const gap, retry = tuning.MinConfirmationGap, tuning.ConfirmationRetry
	none := steady.Instant{}
	for name, x := range map[string]struct {
		happens func(m *Member)
		reader  steady.Instant
		due     time.Duration
	}{
		"no reader":                 {func(*Member) {}, none, tuning.ConfirmationInterval},
		"a reader, within the gap":  {func(*Member) {}, steady.At(time.Millisecond), time.Millisecond + gap},
		"a reader at the same time": {func(*Member) {}, steady.At(0), time.Millisecond + gap},
		"no answer":                 {func(m *Member) { m.StartConfirmation(2*time.Second, none); m.ConfirmationFailed(3 * time.Second) }, steady.At(2 * time.Second), 3*time.Second + retry},
		"a later view is about":     {func(m *Member) { m.ConfirmSoon(5 * time.Millisecond) }, steady.At(time.Millisecond), 5 * time.Millisecond},
		"a later view, gap over":    {func(m *Member) { m.ConfirmSoon(time.Second) }, steady.At(time.Millisecond), time.Millisecond + gap},
		"the view changed":          {func(m *Member) { m.ViewChanged() }, none, time.Millisecond + gap},
	} {
		m := confirmedAtZero(t)
		x.happens(m)
		if m.StartConfirmation(x.due-1, x.reader) {
			t.Errorf("%s: sent before %v", name, x.due)
			continue
		}
		if !m.StartConfirmation(x.due, x.reader) {
			t.Errorf("%s: not sent at %v", name, x.due)
		}
		if m.StartConfirmation(time.Hour, x.reader) {
			t.Errorf("%s: a second one beside it", name)
		}
	}
	m := confirmedAtZero(t)
	m.StartConfirmation(2*time.Second, none)
	m.ConfirmationAnswered(3*time.Second, true, 10)
	if m.StartConfirmation(3*time.Second+gap, steady.At(2*time.Second-1)) {
		t.Error("sent for a reader whom the one before serves")
	}
	if started().StartConfirmation(0, none) {
		t.Error("sent without a view to confirm")
	}
	slow := New(Config{FenceAge: fenceAge, ReadRate: 1}, own)
	second := float64(time.Second)
	if got, want := slow.confirmationGap(), time.Duration(second/tuning.ConfirmationShare); got != want {
		t.Errorf("with one read a second readers cause a confirmation each %v, want %v", got, want)
	}
}

// TestReadIndex: reached once the cache has what the confirmation saw, whatever the view,
// and as of when it was sent.
func TestReadIndex(t *testing.T) {
	m := confirmedAtZero(t)
	if !m.HasReadIndex(0) || m.HasReadIndex(1) {
		t.Errorf("read index at %v, want 0", m.ReadIndex().Time())
	}
	m.StartConfirmation(2*time.Second, steady.Instant{})
	m.ConfirmationAnswered(3*time.Second, false, 12)
	if m.CacheReached(11); m.HasReadIndex(1) {
		t.Error("reached before the cache")
	}
	if m.CacheReached(12); !m.HasReadIndex(2*time.Second) || m.HasReadIndex(2*time.Second+1) {
		t.Errorf("read index at %v, want 2s", m.ReadIndex().Time())
	}
	if m.Confirmed() != steady.At(0) {
		t.Errorf("another view counts as confirmed at %v", m.Confirmed().Time())
	}
	if started().HasReadIndex(0) {
		t.Error("a controller that never confirmed has a read index")
	}
}

// TestUnsettledAreBounded: while the watch hangs only the newest confirmations are kept.
func TestUnsettledAreBounded(t *testing.T) {
	m := confirmedAtZero(t)
	for i := 1; i <= 20; i++ {
		now := time.Duration(i) * tuning.ConfirmationInterval
		if !m.StartConfirmation(now, steady.Instant{}) {
			t.Fatal("not due")
		}
		m.ConfirmationAnswered(now, true, uint64(100+i))
		m.CacheReached(10)
	}
	if len(m.unsettled) != tuning.MaxPendingConfirmations {
		t.Errorf("%d kept", len(m.unsettled))
	}
	if m.CacheReached(104); m.HasReadIndex(1) {
		t.Error("one that was forgotten counts")
	}
	if m.CacheReached(105); !m.HasReadIndex(5 * tuning.ConfirmationInterval) {
		t.Error("the oldest kept doesn't count")
	}
}

// TestReadiness: a ready controller steps back only once another has been the better
// choice all the time.
func TestReadiness(t *testing.T) {
	m := started()
	if m.IsReady() {
		t.Error("ready at the start")
	}
	m.BecomeReady()
	const start = time.Minute
	m.StepBack(start, true)
	if m.StepBack(start+tuning.UnreadyDelay, true); !m.IsReady() {
		t.Error("steps back too early")
	}
	m.StepBack(start+tuning.UnreadyDelay+1, false)
	if m.StepBack(start+2*tuning.UnreadyDelay, true); !m.IsReady() {
		t.Error("an interruption doesn't count")
	}
	if m.StepBack(start+3*tuning.UnreadyDelay+1, true); m.IsReady() {
		t.Error("doesn't step back")
	}
	m.BecomeReady()
	if m.StepBack(start+9*tuning.UnreadyDelay, true); !m.IsReady() {
		t.Error("steps back at once after it was ready again")
	}
}

func TestStateAnswers(t *testing.T) {
	m := started()
	if m.StateAnswers(0) || m.IsStateReachable() {
		t.Error("reachable before any answer")
	}
	m = confirmedAtZero(t)
	if !m.IsStateReachable() || !m.StateAnswers(tuning.UsableAge-1) || m.StateAnswers(tuning.UsableAge) {
		t.Error("an answer counts until it is as old as tuning.UsableFor")
	}
	m.StartConfirmation(2*time.Second, steady.Instant{})
	m.ConfirmationFailed(2 * time.Second)
	if m.IsStateReachable() || !m.StateAnswers(tuning.UsableAge-1) {
		t.Error("one failure shows at once in one and not in the other")
	}
}

// TestLeaseCountsFromItsRequest: the first one that is granted, not the first one sent; and
// renewals follow each other.
func TestLeaseCountsFromItsRequest(t *testing.T) {
	const granted = 10 * time.Second
	m := started()
	m.CacheLoaded()
	m.MaintainLease(0, "")
	m.LeaseGranted(time.Second, false, 0)
	if due := m.MaintainLease(granted, ""); !due.Grant {
		t.Fatal("a lease that was refused is not requested again")
	}
	m.LeaseGranted(granted+time.Second, true, 5)
	for i := time.Duration(1); i <= 3; i++ {
		at := granted + i*tuning.LeaseRenewalInterval
		if m.MaintainLease(at-1, own).Renew || !m.MaintainLease(at, own).Renew {
			t.Errorf("renewal %d is not due at %v", i, at)
		}
		m.RenewalAnswered(at+time.Millisecond, Renewed)
	}
}
