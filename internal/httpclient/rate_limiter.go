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
// changes (keys written), with two token buckets that hold up to one second's worth each, that of
// requests at least one request.
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
		requestRate: requestRate, requestCredit: max(requestRate, 1),
		changeRate: changeRate, changeCredit: changeRate,
		updatedAt: time.Now(),
	}
}

// Wait blocks until a request with the given number of changes may be sent; lane 0 is the most
// urgent.
func (l *RateLimiter) Wait(lane, changes int) {
	w := &waitingRequest{changes: changes, admitted: make(chan struct{})}
	l.mu.Lock()
	l.queues[lane] = append(l.queues[lane], w)
	l.admitWaiting()
	l.mu.Unlock()
	<-w.admitted
}

// Refund credits the changes of a request that was refused without being executed, up to one
// second's worth in total.
func (l *RateLimiter) Refund(changes int) {
	l.mu.Lock()
	l.changeCredit = min(l.changeRate, l.changeCredit+float64(changes))
	l.mu.Unlock()
}

// admitWaiting admits waiting requests as far as the credit allows, urgent lanes first. A request
// that lacks credit holds back the later ones of its lane only. mu must be held.
func (l *RateLimiter) admitWaiting() {
	l.refill()
	starved := false
	for lane := range l.queues {
		for len(l.queues[lane]) > 0 {
			w := l.queues[lane][0]
			if !l.hasCredit(lane, w.changes) {
				starved = true
				break
			}
			l.requestCredit--
			l.changeCredit -= float64(w.changes)
			l.queues[lane] = l.queues[lane][1:]
			close(w.admitted)
		}
	}
	if starved && !l.retryScheduled {
		l.retryScheduled = true
		time.AfterFunc(retryInterval, l.retry)
	}
}

// refill adds the credit for the time since the last call; mu must be held.
func (l *RateLimiter) refill() {
	now := time.Now()
	elapsed := now.Sub(l.updatedAt).Seconds()
	l.updatedAt = now
	l.requestCredit = min(max(l.requestRate, 1), l.requestCredit+elapsed*l.requestRate)
	l.changeCredit = min(l.changeRate, l.changeCredit+elapsed*l.changeRate)
}

// hasCredit reports whether a request of the lane with that many changes may be sent now; mu
// must be held.
func (l *RateLimiter) hasCredit(lane, changes int) bool {
	if l.requestCredit < 1 {
		return false
	}
	return changes <= 0 || l.changeCredit >= l.requiredCredit(lane, changes)
}

// requiredCredit returns the change credit that a request with changes needs.
//
// In an urgent lane (views and users), a request may be sent while the debt is at most
// tuning.UrgentDebtSeconds' worth, so that it doesn't wait for the transactions of other lanes,
// which wait until the debt is paid off.
//
// In any other lane, a request needs credit for all its changes, but at most tuning.TaskCredit
// seconds' worth, because a transaction may have more changes than the bucket holds; the rest
// becomes debt, which is paid off afterwards.
func (l *RateLimiter) requiredCredit(lane, changes int) float64 {
	if lane < tuning.UrgentLanes {
		return -tuning.UrgentDebtSeconds * l.changeRate
	}
	return min(float64(changes), tuning.TaskCredit*l.changeRate)
}

// retry checks the waiting requests again; a timer calls it.
func (l *RateLimiter) retry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryScheduled = false
	l.admitWaiting()
}
