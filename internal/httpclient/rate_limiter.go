package httpclient

import (
	"sync"
	"time"

	"brassglade/internal/tuning"
)

const (
	laneCount = 4 // as many as the scheduler's lanes of commits
	// retryInterval is how often requests that wait for credit are looked at again.
	retryInterval = 20 * time.Millisecond
)

// RateLimiter is one controller's part of a published rate of requests and of changes (keys
// written), as two token buckets that hold one second's worth each. Requests wait in
// lanes: one of a lower lane goes only when none waits in a more urgent one.
type RateLimiter struct {
	mu             sync.Mutex
	requestRate    float64 // requests a second
	changeRate     float64 // changes a second
	requestCredit  float64 // requests that may go now
	changeCredit   float64 // changes that may go now; below 0: debt
	updatedAt      time.Time
	queues         [laneCount][]*waitingRequest // 0 is the most urgent
	retryScheduled bool                         // a timer will look at the waiting requests again
}

// waitingRequest is a request that waits for credit.
type waitingRequest struct {
	changes  int
	admitted chan struct{} // closed when the request may go
}

// NewRateLimiter returns a budget of the given rates, each a second, with a burst of one
// second's worth.
func NewRateLimiter(requestRate, changeRate float64) *RateLimiter {
	return &RateLimiter{
		requestRate: requestRate, requestCredit: requestRate,
		changeRate: changeRate, changeCredit: changeRate,
		updatedAt: time.Now(),
	}
}

// Wait returns when a request with so many changes may go out; lane 0 is the most urgent.
func (b *RateLimiter) Wait(lane, changes int) {
	t := &waitingRequest{changes: changes, admitted: make(chan struct{})}
	b.mu.Lock()
	b.queues[lane] = append(b.queues[lane], t)
	b.admitWaiting()
	b.mu.Unlock()
	<-t.admitted
}

// Refund takes back the changes of a request that was refused unexecuted.
func (b *RateLimiter) Refund(changes int) {
	b.mu.Lock()
	b.changeCredit = min(b.changeRate, b.changeCredit+float64(changes))
	b.mu.Unlock()
}

// admitWaiting lets requests go as far as the credit reaches; mu is held.
func (b *RateLimiter) admitWaiting() {
	b.refill()
	starved := false
	for lane := range b.queues {
		for len(b.queues[lane]) > 0 {
			t := b.queues[lane][0]
			if !b.hasCredit(lane, t.changes) {
				starved = true
				break
			}
			b.requestCredit--
			b.changeCredit -= float64(t.changes)
			b.queues[lane] = b.queues[lane][1:]
			close(t.admitted)
		}
	}
	if starved && !b.retryScheduled {
		b.retryScheduled = true
		time.AfterFunc(retryInterval, b.retry)
	}
}

// refill adds what the time since the last call is worth; mu is held.
func (b *RateLimiter) refill() {
	now := time.Now()
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	b.requestCredit = min(b.requestRate, b.requestCredit+elapsed*b.requestRate)
	b.changeCredit = min(b.changeRate, b.changeCredit+elapsed*b.changeRate)
}

// hasCredit tells whether a request of the lane may go now; mu is held.
func (b *RateLimiter) hasCredit(lane, changes int) bool {
	if b.requestCredit < 1 {
		return false
	}
	return changes <= 0 || b.changeCredit >= b.requiredCredit(lane, changes)
}

// requiredCredit is the credit in changes from which a request may go. A transaction may
// be larger than a second's worth: it goes when there is some credit, and its size is
// paid off afterwards. Views and users go ahead of that credit: others' transactions
// must not keep them waiting, and pay for it afterwards.
func (b *RateLimiter) requiredCredit(lane, changes int) float64 {
	if lane < tuning.UrgentLanes {
		return -tuning.UrgentDebtSeconds * b.changeRate
	}
	return min(float64(changes), tuning.TaskCredit*b.changeRate)
}

// retry looks at the waiting requests again when a timer fires.
func (b *RateLimiter) retry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryScheduled = false
	b.admitWaiting()
}
