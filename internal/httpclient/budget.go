package httpclient

import (
	"sync"
	"time"

	"brassglade/internal/tuning"
)

// Budget is a node's share of a published rate, spent by lanes: a waiting
// request of a lower lane goes only when no higher one waits.
type Budget struct {
	mu     sync.Mutex
	rate   float64 // requests a second
	wrate  float64 // changes a second
	tok    float64
	wtok   float64
	last   time.Time
	queues [4][]*ticket
	armed  bool
}

type ticket struct {
	writes int
	ch     chan struct{}
}

// NewBudget returns a budget with a burst of one second's worth.
func NewBudget(rate, wrate float64) *Budget {
	return &Budget{rate: rate, wrate: wrate, tok: rate, wtok: wrate, last: time.Now()}
}

// Wait returns when the request may go out.
func (b *Budget) Wait(lane, writes int) {
	t := &ticket{writes, make(chan struct{})}
	b.mu.Lock()
	b.queues[lane] = append(b.queues[lane], t)
	b.pump()
	b.mu.Unlock()
	<-t.ch
}

// Refund takes back the changes of a request that was refused unexecuted.
func (b *Budget) Refund(writes int) {
	b.mu.Lock()
	b.wtok = min(b.wrate, b.wtok+float64(writes))
	b.mu.Unlock()
}

func (b *Budget) pump() {
	now := time.Now()
	dt := now.Sub(b.last).Seconds()
	b.last = now
	b.tok = min(b.rate, b.tok+dt*b.rate)
	b.wtok = min(b.wrate, b.wtok+dt*b.wrate)
	left := false
	for l := range b.queues {
		for len(b.queues[l]) > 0 {
			t := b.queues[l][0]
			// A transaction may be larger than a second's worth: it goes
			// when there is credit, and its size is paid off afterwards.
			// Views and users go ahead of that credit: others' transactions must
			// not keep them waiting, and pay for it afterwards.
			need := min(float64(t.writes), tuning.TaskCredit*b.wrate)
			if l < tuning.LanesAhead {
				need = -tuning.AheadSeconds * b.wrate
			}
			if b.tok < 1 || t.writes > 0 && b.wtok < need {
				left = true
				break
			}
			b.tok--
			b.wtok -= float64(t.writes)
			b.queues[l] = b.queues[l][1:]
			close(t.ch)
		}
	}
	if left && !b.armed {
		b.armed = true
		time.AfterFunc(20*time.Millisecond, func() {
			b.mu.Lock()
			b.armed = false
			b.pump()
			b.mu.Unlock()
		})
	}
}
