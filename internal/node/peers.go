package node

import "brassglade/internal/scheduler"

// isBroadcast reports whether a step sends the same message to all peers. Only messages with a
// steal request are meant for one peer.
func isBroadcast(e scheduler.SendPeerMessage) bool { return e.Message.Steal == nil }

// sendFrame queues a frame for a peer. It does nothing if the settings don't name that peer.
func (n *Node) sendFrame(to string, frame []byte) {
	if link := n.peers[to]; link != nil {
		link.Send(frame)
	}
}

// receivePeerMessage puts a peer's message into the loop.
func (n *Node) receivePeerMessage(from string, m scheduler.PeerMessage) {
	n.enqueueEvent(scheduler.PeerMessageReceived{From: from, Message: m})
}
