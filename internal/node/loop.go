package node

import (
	"time"

	"brassglade/internal/peer"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// request is a request of a user or worker that waits for the scheduler's reply.
type request struct {
	newEvent func(requestID uint64) scheduler.Event
	reply    chan scheduler.Effect // has room for the reply, so that sending it never blocks
}

// Request puts a request into the loop's queue for workers or for users and waits for the
// scheduler's reply. ok is false if the queue is full, without waiting, or if no reply came
// within tuning.RequestTimeout.
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

// enqueueEvent puts an event into the loop's queue. It waits while the queue is full, and drops
// the event if the loop has ended.
func (n *Node) enqueueEvent(event scheduler.Event) {
	select {
	case n.events <- event:
	case <-n.done:
	}
}

// loop drives the scheduler until done is closed. Only its goroutine calls the scheduler and uses
// pendingReplies.
func (n *Node) loop() {
	tick := time.NewTicker(tuning.Tick)
	defer tick.Stop()
	for {
		// Handle events before requests: among them are the responses to this controller's own
		// requests, which carry the view, the confirmations that the self-fence depends on, and
		// the outcomes of commits.
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

// handleRequest assigns an ID to a request and passes its event to the scheduler.
func (n *Node) handleRequest(r request) {
	n.lastRequestID++
	n.pendingReplies[n.lastRequestID] = r.reply
	n.step(r.newEvent(n.lastRequestID))
}

// step passes one event to the scheduler and starts executing the resulting effects.
func (n *Node) step(event scheduler.Event) {
	if n.metrics != nil {
		n.metrics.ObserveEvent(event)
		defer func() { n.metrics.SetStatus(n.controller.Status()) }()
	}
	var frame []byte // the step's message to all peers, encoded once for all of them; nil: not encoded yet
	for _, effect := range n.controller.Step(n.now(), event) {
		if n.metrics != nil {
			n.metrics.ObserveEffect(effect)
		}
		if e, ok := effect.(scheduler.SendPeerMessage); ok && isBroadcast(e) {
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
