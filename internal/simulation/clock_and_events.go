package simulation

import (
	"container/heap"
	"time"
)

// event is a function to be run at a point of virtual time.
type event struct {
	at       time.Duration
	sequence int // order among events of the same time: that in which they were scheduled
	run      func()
}

// eventQueue is a heap of events ordered by time, then by sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules f to run when a virtual duration has passed.
func (c *Cluster) after(delay time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.Now + delay, c.lastSequence, f})
}

// everySecond runs f once per virtual second, the first time in one second.
func (c *Cluster) everySecond(f func()) {
	var repeat func()
	repeat = func() {
		f()
		c.after(time.Second, repeat)
	}
	c.after(time.Second, repeat)
}

// Run runs all events up to the given virtual time, inclusive, and sets Now to it.
func (c *Cluster) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.Now = next.at
		next.run()
	}
	c.Now = until
}
