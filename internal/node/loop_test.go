package node

import (
	"testing"

	"brassglade/internal/scheduler"
)

// TestFullQueueRefusesRequest checks that a request to a full queue is refused without
// waiting, while the other queue still takes requests, and that a reply nobody waits for is
// ignored.
func TestFullQueueRefusesRequest(t *testing.T) {
	n := &Node{userRequests: make(chan request), workerRequests: make(chan request, 1), pendingReplies: map[uint64]chan scheduler.Effect{}}
	newEvent := func(requestID uint64) scheduler.Event { return scheduler.JobQueried{RequestID: requestID} }
	if reply, ok := n.Request(false, newEvent); ok || reply != nil {
		t.Errorf("reply %v, ok %v from a full queue; want none", reply, ok)
	}
	go func() {
		r := <-n.workerRequests
		n.pendingReplies[7] = r.reply
		n.execute(scheduler.HeartbeatReply{RequestID: 8, Status: 503}) // no request waits for this reply
		n.execute(scheduler.HeartbeatReply{RequestID: 7, Status: 200})
	}()
	reply, ok := n.Request(true, newEvent)
	if heartbeatReply, isHeartbeatReply := reply.(scheduler.HeartbeatReply); !ok || !isHeartbeatReply || heartbeatReply.Status != 200 {
		t.Errorf("reply %+v, ok %v; want the reply with status 200", reply, ok)
	}
}
