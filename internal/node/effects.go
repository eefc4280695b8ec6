package node

import (
	"context"
	"log/slog"

	"brassglade/internal/peer"
	"brassglade/internal/scheduler"
)

// carryOut carries out one effect. What takes time runs on a goroutine of its own, and its
// answer comes back as an event.
func (n *Node) carryOut(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.HeartbeatReply:
		n.reply(e.RequestID, e)
	case scheduler.UserReply:
		n.reply(e.RequestID, e)
	case scheduler.ConfirmView:
		n.background(func() scheduler.Event { return n.store.Confirm(e) })
	case scheduler.Commit:
		n.background(func() scheduler.Event { return n.store.Commit(e) })
	case scheduler.ReadKeys:
		n.background(func() scheduler.Event { return n.store.Read(e) })
	case scheduler.GrantLease:
		n.background(func() scheduler.Event { return n.store.Grant(e) })
	case scheduler.RenewLease:
		n.background(func() scheduler.Event { return n.store.Renew(e) })
	case scheduler.ListMachineTypes:
		n.background(func() scheduler.Event { return n.cloud.MachineTypes() })
	case scheduler.ListInstances:
		n.background(func() scheduler.Event { return n.cloud.Instances() })
	case scheduler.RentMachines:
		n.background(func() scheduler.Event { return n.cloud.Rent(e) })
	case scheduler.ReturnMachines:
		n.background(func() scheduler.Event { return n.cloud.Return(e) })
	case scheduler.SendPeerMessage:
		n.sendFrame(e.To, peer.Encode(n.member, e.Message))
	case scheduler.SendCommands:
		n.sendCommands(e)
	case scheduler.LogLine:
		slog.Log(context.Background(), e.Level, e.Message, e.Args...)
	}
}

// background does something that takes time and puts the answer into the loop.
func (n *Node) background(do func() scheduler.Event) {
	go func() { n.emit(do()) }()
}

// reply hands a reply to the request that waits for it. A request that gave up waiting
// stays among the pending ones until its reply comes, which nobody reads then.
func (n *Node) reply(requestID uint64, effect scheduler.Effect) {
	if waiting, ok := n.pendingReplies[requestID]; ok {
		delete(n.pendingReplies, requestID)
		waiting <- effect
	}
}
