package node

import (
	"testing"

	"brassglade/internal/scheduler"
)

// TestFullQueueRefusesRequest: at once, and each queue for itself.
func TestFullQueueRefusesRequest(t *testing.T) {
	n := &Node{userRequests: make(chan request), workerRequests: make(chan request, 1), pendingReplies: map[uint64]chan scheduler.Effect{}}
	newEvent := func(requestID uint64) scheduler.Event { return scheduler.JobQueried{RequestID: requestID} }
	if reply, ok := n.Request(false, newEvent); ok || reply != nil {
		t.Errorf("reply %v, ok %v from a full queue", reply, ok)
	}
	go func() {
		r := <-n.workerRequests
		n.pendingReplies[7] = r.reply
		n.execute(scheduler.HeartbeatReply{RequestID: 8, Status: 503}) // nobody waits for it
		n.execute(scheduler.HeartbeatReply{RequestID: 7, Status: 200})
	}()
	reply, ok := n.Request(true, newEvent)
	if beat, is := reply.(scheduler.HeartbeatReply); !ok || !is || beat.Status != 200 {
		t.Errorf("reply %+v, ok %v", reply, ok)
	}
}
