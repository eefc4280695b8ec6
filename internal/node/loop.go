package node

import (
	"time"

	"brassglade/internal/peer"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// request is a user's or worker's request on its way through the loop.
type request struct {
	newEvent func(requestID uint64) scheduler.Event
	reply    chan scheduler.Effect // has room for the one reply
}

// Request puts a request into the loop's queue of workers or users and waits for the
// scheduler's reply. ok is false if the queue is full, which is known at once, or if no
// reply came in time.
func (n *Node) Request(fromWorker bool, newEvent func(requestID uint64) scheduler.Event) (reply scheduler.Effect, ok bool) {
	r := request{newEvent: newEvent, reply: make(chan scheduler.Effect, 1)}
	queue := n.userRequests
	if fromWorker {
		queue = n.workerRequests
	}
	select {
	case queue <- r:
	default:
		return nil, false
	}
	timeout := time.NewTimer(tuning.RequestTimeout)
	defer timeout.Stop()
	select {
	case reply := <-r.reply:
		return reply, true
	case <-timeout.C:
		return nil, false
	}
}

// enqueueEvent puts an event into the loop and waits until there is room.
func (n *Node) enqueueEvent(event scheduler.Event) {
	select {
	case n.events <- event:
	case <-n.done:
	}
}

// loop drives the scheduler: it alone calls it, and it alone touches pending replies.
func (n *Node) loop() {
	tick := time.NewTicker(tuning.Tick)
	defer tick.Stop()
	for {
		// Answers to own requests first: they carry view, fence and outcomes.
		select {
		case event := <-n.events:
			n.step(event)
			continue
		default:
		}
		select {
		case event := <-n.events:
			n.step(event)
		case r := <-n.workerRequests:
			n.handleRequest(r)
		case r := <-n.userRequests:
			n.handleRequest(r)
		case <-tick.C:
			n.step(scheduler.Tick{})
		case <-n.done:
			return
		}
	}
}

// handleRequest gives a request a number and its event to the scheduler.
func (n *Node) handleRequest(r request) {
	n.lastRequestID++
	n.pendingReplies[n.lastRequestID] = r.reply
	n.step(r.newEvent(n.lastRequestID))
}

// step takes one event through the scheduler and starts to carry out the effects.
func (n *Node) step(event scheduler.Event) {
	if n.metrics != nil {
		n.metrics.ObserveEvent(event)
		defer func() { n.metrics.SetStatus(n.controller.Status()) }()
	}
	var frame []byte // a message to all peers is encoded once
	for _, effect := range n.controller.Step(n.now(), event) {
		if n.metrics != nil {
			n.metrics.ObserveEffect(effect)
		}
		if e, is := effect.(scheduler.SendPeerMessage); is && isBroadcast(e) {
			if frame == nil {
				frame = peer.Encode(n.member, e.Message)
			}
			n.sendFrame(e.To, frame)
			continue
		}
		n.execute(effect)
	}
	n.ready.Store(n.controller.Ready())
}
