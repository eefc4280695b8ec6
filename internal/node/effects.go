package node

import (
	"context"
	"log/slog"

	"brassglade/internal/peer"
	"brassglade/internal/scheduler"
)

// execute executes one effect. Requests to other processes run on goroutines of their own, and
// their results come back as events.
func (n *Node) execute(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.HeartbeatReply:
		n.deliverReply(e.RequestID, e)
	case scheduler.UserReply:
		n.deliverReply(e.RequestID, e)
	case scheduler.ConfirmView:
		n.runAsync(func() scheduler.Event { return n.store.Confirm(e) })
	case scheduler.Commit:
		n.runAsync(func() scheduler.Event { return n.store.Commit(e) })
	case scheduler.ReadKeys:
		n.runAsync(func() scheduler.Event { return n.store.Read(e) })
	case scheduler.GrantLease:
		n.runAsync(func() scheduler.Event { return n.store.Grant(e) })
	case scheduler.RenewLease:
		n.runAsync(func() scheduler.Event { return n.store.Renew(e) })
	case scheduler.ListMachineTypes:
		n.runAsync(func() scheduler.Event { return n.cloud.MachineTypes() })
	case scheduler.ListInstances:
		n.runAsync(func() scheduler.Event { return n.cloud.Instances() })
	case scheduler.RentMachines:
		n.runAsync(func() scheduler.Event { return n.cloud.Rent(e) })
	case scheduler.ReturnMachines:
		n.runAsync(func() scheduler.Event { return n.cloud.Return(e) })
	case scheduler.SendPeerMessage:
		n.sendFrame(e.To, peer.Encode(n.member, e.Message))
	case scheduler.SendCommands:
		n.sendCommands(e)
	case scheduler.LogLine:
		slog.Log(context.Background(), e.Level, e.Message, e.Args...)
	}
}

// runAsync runs a function on a new goroutine and adds the event that it returns to the loop's
// queue.
func (n *Node) runAsync(do func() scheduler.Event) {
	go func() { n.enqueueEvent(do()) }()
}

// deliverReply passes a reply to the request that waits for it. A request that timed out stays in
// pendingReplies until its reply comes; that reply goes into the request's channel unread. Only
// the loop's goroutine may call it.
func (n *Node) deliverReply(requestID uint64, effect scheduler.Effect) {
	if channel, ok := n.pendingReplies[requestID]; ok {
		delete(n.pendingReplies, requestID)
		channel <- effect
	}
}
