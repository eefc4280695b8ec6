package standin

import (
	"sync"
	"time"
)

// Pollers ask for jobs every 5 s, each at all controllers in turn, and keep when each job was last
// answered.
type Pollers struct {
	d    *Deployment
	stop chan struct{}
	all  sync.WaitGroup

	mu       sync.Mutex
	answered map[string]time.Duration // by job: when a poll for it was last answered with 200 or 404
	silence  map[string]time.Duration // by job: the longest time without an answer
	last     map[string]Answer
	since    time.Duration // silence counts from then on; negative: not yet
}

// pollInterval is the pause between two polls of a user.
const pollInterval = 5 * time.Second

// NewPollers returns pollers of no job.
func NewPollers(d *Deployment) *Pollers {
	return &Pollers{
		d: d, stop: make(chan struct{}), answered: map[string]time.Duration{}, silence: map[string]time.Duration{},
		last: map[string]Answer{}, since: -1,
	}
}

// Follow begins to poll for a job, first at the given controller.
func (p *Pollers) Follow(job *Job, first int) {
	p.all.Add(1)
	go func() {
		defer p.all.Done()
		for try := first; ; try++ {
			answer := p.d.Poll(job, p.d.Controllers[try%len(p.d.Controllers)])
			p.note(job.NameID, answer)
			select {
			case <-p.stop:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
}

// note records an answer.
func (p *Pollers) note(id string, answer Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.measure(id)
	if answer.Status == 200 || answer.Status == 404 {
		p.answered[id] = p.d.Record.Now()
		p.last[id] = answer
	}
}

// measure updates the longest silence about a job; mu must be held.
func (p *Pollers) measure(id string) {
	if p.since >= 0 {
		p.silence[id] = max(p.silence[id], p.d.Record.Now()-max(p.answered[id], p.since))
	}
}

// TroubleIsOver has silence counted from now on.
func (p *Pollers) TroubleIsOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = p.d.Record.Now()
	p.d.Record.Logf("from now on there is no trouble")
}

// Stop ends the polls and returns, by job, the longest silence and the last answer.
func (p *Pollers) Stop() (silence map[string]time.Duration, last map[string]Answer) {
	close(p.stop)
	p.all.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.answered {
		p.measure(id)
	}
	return p.silence, p.last
}
