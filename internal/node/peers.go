package node

import "brassglade/internal/scheduler"

// isBroadcast tells whether a step sends the same message to all peers; requests for
// tasks are the only ones meant for one peer.
func isBroadcast(e scheduler.SendPeerMessage) bool { return e.Message.Steal == nil }

// sendFrame queues a frame for a peer; one that the settings don't name gets none.
func (n *Node) sendFrame(to string, frame []byte) {
	if link := n.peers[to]; link != nil {
		link.Send(frame)
	}
}

// receivePeerMessage puts a peer's message into the loop.
func (n *Node) receivePeerMessage(from string, m scheduler.PeerMessage) {
	n.enqueueEvent(scheduler.PeerMessageReceived{From: from, Message: m})
}
