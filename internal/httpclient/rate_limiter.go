package httpclient

import (
	"sync"
	"time"

	"brassglade/internal/tuning"
)

const (
	laneCount = 4 // the number of the scheduler's lanes of commits
	// retryInterval is the time after which requests that lack credit are checked again.
	retryInterval = 20 * time.Millisecond
)

// RateLimiter keeps one controller within its share of a published rate of requests and of
// changes (keys written), with two token buckets that hold up to one second's worth each.
// Requests wait in lanes; those of more urgent lanes are considered first.
type RateLimiter struct {
	mu             sync.Mutex
	requestRate    float64 // requests a second
	changeRate     float64 // changes a second
	requestCredit  float64 // requests that may be sent now
	changeCredit   float64 // changes that may be sent now; below 0: debt
	updatedAt      time.Time
	queues         [laneCount][]*waitingRequest // by lane; 0 is the most urgent
	retryScheduled bool                         // a timer that calls retry is running
}

// waitingRequest is a request that waits for credit.
type waitingRequest struct {
	changes  int
	admitted chan struct{} // closed when the request may be sent
}

// NewRateLimiter returns a rate limiter for the given numbers of requests and changes a second,
// with bursts of up to one second's worth.
func NewRateLimiter(requestRate, changeRate float64) *RateLimiter {
	return &RateLimiter{
		requestRate: requestRate, requestCredit: requestRate,
		changeRate: changeRate, changeCredit: changeRate,
		updatedAt: time.Now(),
	}
}

// Wait blocks until a request with the given number of changes may be sent; lane 0 is the most
// urgent.
func (b *RateLimiter) Wait(lane, changes int) {
	t := &waitingRequest{changes: changes, admitted: make(chan struct{})}
	b.mu.Lock()
	b.queues[lane] = append(b.queues[lane], t)
	b.admitWaiting()
	b.mu.Unlock()
	<-t.admitted
}

// Refund credits the changes of a request that was refused without being executed, up to one
// second's worth in total.
func (b *RateLimiter) Refund(changes int) {
	b.mu.Lock()
	b.changeCredit = min(b.changeRate, b.changeCredit+float64(changes))
	b.mu.Unlock()
}

// admitWaiting admits waiting requests as far as the credit allows, urgent lanes first. A request
// that lacks credit holds back the later ones of its lane only. mu must be held.
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

// refill adds the credit for the time since the last call; mu must be held.
func (b *RateLimiter) refill() {
	now := time.Now()
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	b.requestCredit = min(b.requestRate, b.requestCredit+elapsed*b.requestRate)
	b.changeCredit = min(b.changeRate, b.changeCredit+elapsed*b.changeRate)
}

// hasCredit reports whether a request of the lane with that many changes may be sent now; mu
// must be held.
func (b *RateLimiter) hasCredit(lane, changes int) bool {
	if b.requestCredit < 1 {
		return false
	}
	return changes <= 0 || b.changeCredit >= b.requiredCredit(lane, changes)
}

// requiredCredit returns the change credit that a request with changes needs. A request in a
// lane that isn't urgent needs credit for all its changes, but at most tuning.TaskCredit
// seconds' worth, because a transaction may have more changes than the bucket holds; the rest
// becomes debt, which is paid off afterwards. Requests in the urgent lanes (views and users)
// are sent down to a debt of tuning.UrgentDebtSeconds' worth, so that they don't wait for the
// transactions of other lanes, which wait until the debt is paid off.
func (b *RateLimiter) requiredCredit(lane, changes int) float64 {
	if lane < tuning.UrgentLanes {
		return -tuning.UrgentDebtSeconds * b.changeRate
	}
	return min(float64(changes), tuning.TaskCredit*b.changeRate)
}

// retry checks the waiting requests again; a timer calls it.
func (b *RateLimiter) retry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryScheduled = false
	b.admitWaiting()
}
