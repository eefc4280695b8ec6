package node

import "brassglade/internal/scheduler"

// isBroadcast reports whether a message goes to all peers alike. Only a message with a steal
// request is meant for one peer.
func isBroadcast(e scheduler.SendPeerMessage) bool { return e.Message.Steal == nil }

// sendFrame queues a frame for a peer. It does nothing if the settings don't name that peer.
func (n *Node) sendFrame(to string, frame []byte) {
	if link := n.peers[to]; link != nil {
		link.Send(frame)
	}
}

// receivePeerMessage adds a peer's message to the loop's queue of events. It waits while the queue
// is full.
func (n *Node) receivePeerMessage(from string, m scheduler.PeerMessage) {
	n.enqueueEvent(scheduler.PeerMessageReceived{From: from, Message: m})
}
