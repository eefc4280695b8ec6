package simulation

import (
	"container/heap"
	"time"
)

// event is something that happens at a point of virtual time.
type event struct {
	at       time.Duration
	sequence int // among events of one time, the order in which they were planned
	run      func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after plans f for a virtual duration from now.
func (c *Cluster) after(delay time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.Now + delay, c.lastSequence, f})
}

// everySecond runs f once a virtual second.
func (c *Cluster) everySecond(f func()) {
	var again func()
	again = func() {
		f()
		c.after(time.Second, again)
	}
	c.after(time.Second, again)
}

// Run plays until the given virtual time.
func (c *Cluster) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.Now = next.at
		next.run()
	}
	c.Now = until
}
