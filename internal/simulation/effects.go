package simulation

import (
	"fmt"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// applyEffect carries out an effect returned by the scheduler.
func (p *controllerProcess) applyEffect(effect scheduler.Effect) {
	c := p.cluster
	if c.onEffect != nil {
		c.onEffect(p, effect)
	}
	switch e := effect.(type) {
	case scheduler.HeartbeatReply:
		p.reply(e.RequestID, e)
	case scheduler.UserReply:
		p.reply(e.RequestID, e)
	case scheduler.ConfirmView:
		askState(p, func() any { return c.state.confirm(p.name, e) }, scheduler.ConfirmationAnswered{})
	case scheduler.Commit:
		inDoubt := scheduler.CommitAnswered{ID: e.ID, Result: domain.InDoubt}
		ask(p, participantState, tuning.StateTimeout, func(reply func(any)) { c.state.commitWithFaults(p, e, reply) }, inDoubt)
	case scheduler.ReadKeys:
		askState(p, func() any { return c.state.read(p.name, e) }, scheduler.KeysRead{ID: e.ID})
	case scheduler.GrantLease:
		askState(p, func() any { return c.state.grant(p.name, e.TTL) }, scheduler.LeaseAnswered{})
	case scheduler.RenewLease:
		askState(p, func() any { return c.state.renew(p.name, e.LeaseID) }, scheduler.LeaseRenewalAnswered{})
	case scheduler.ListMachineTypes:
		askCloud(p, c.cloud.machineTypes, scheduler.MachineTypesListed{})
	case scheduler.ListInstances:
		askCloud(p, c.cloud.instances, scheduler.InstancesListed{})
	case scheduler.RentMachines:
		askCloud(p, func() any { return c.cloud.rent(e) }, scheduler.RentalAnswered{RentalID: e.RentalID})
	case scheduler.ReturnMachines:
		askCloud(p, func() any { return c.cloud.returnMachines(e.Names) }, scheduler.ReturnAnswered{Names: e.Names})
	case scheduler.SendPeerMessage:
		p.sendToPeer(e)
	case scheduler.SendCommands:
		p.sendCommands(e)
	case scheduler.LogLine:
		p.recordLogLine(e)
	}
}

// ask sends a request to a service and passes the response to the scheduler as an event, or
// noResponse if no response of type A arrives within the limit. It drops the response if the process
// has ended or restarted meanwhile.
func ask[A scheduler.Event](p *controllerProcess, service string, limit time.Duration, serve func(reply func(any)), noResponse A) {
	generation := p.generation
	p.cluster.call(p.name, service, limit, serve, func(response any) {
		if p.generation != generation {
			return
		}
		event, ok := response.(A)
		if !ok {
			event = noResponse
		}
		p.step(event)
	})
}

// askState sends a request to the state service, whose response may be delayed by a fault.
func askState[A scheduler.Event](p *controllerProcess, serve func() any, noResponse A) {
	ask(p, participantState, tuning.StateTimeout, func(reply func(any)) { p.cluster.replyWithDelay(reply, serve()) }, noResponse)
}

// askCloud sends a request to the cloud provider.
func askCloud[A scheduler.Event](p *controllerProcess, serve func() any, noResponse A) {
	ask(p, participantCloud, tuning.CloudTimeout, func(reply func(any)) { reply(serve()) }, noResponse)
}

func (p *controllerProcess) sendToPeer(e scheduler.SendPeerMessage) {
	for _, peer := range p.cluster.processes {
		if peer.name == e.To {
			p.cluster.send(p.name, peer.name, func() {
				peer.step(scheduler.PeerMessageReceived{From: p.name, Message: e.Message})
			})
		}
	}
}

// sendCommands sends commands directly to a machine, which responds with a heartbeat.
func (p *controllerProcess) sendCommands(e scheduler.SendCommands) {
	w := p.cluster.workersByName[e.Machine]
	if w == nil {
		return
	}
	generation := p.generation
	p.cluster.call(p.name, w.name, tuning.DirectCommandTimeout, func(reply func(any)) { w.receiveCommands(e, reply) }, func(response any) {
		event := scheduler.CommandsAnswered{Machine: e.Machine}
		if heartbeat, ok := response.(domain.Heartbeat); ok {
			event.Heartbeat = &heartbeat
		}
		if p.generation == generation {
			p.step(event)
		}
	})
}

// recordLogLine counts or traces the log lines of a scheduler that tests check.
func (p *controllerProcess) recordLogLine(line scheduler.LogLine) {
	c := p.cluster
	switch line.Message {
	case "value made smaller":
		c.shrunkValues++
	case "format on":
		if c.startsAsPreviousVersion {
			c.log("%s reads that all know the new format", p.name)
		}
	case "machine marked":
		c.cordons = append(c.cordons, fmt.Sprint(line.Args...))
	case "view":
		c.log("%s sees view %v", p.name, line.Args)
	}
}
