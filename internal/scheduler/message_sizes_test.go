package scheduler

import (
	"testing"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// TestLongCommandsAreSplit guards against answers and direct requests longer than a message may be:
// a machine reported 1,150 tasks of a cancelled job, its agent could read neither the answer nor the
// request that stopped them all, and lost its lease with the task of another job. Machines get fewer
// tasks by now, but one that an earlier version filled may report so many.
func TestLongCommandsAreSplit(t *testing.T) {
	const tasks = 1150
	c := actingController()
	m := c.heartbeats.addMachine("n-000001")
	reports := make([]domain.TaskReport, tasks)
	for i := range reports {
		reports[i] = domain.TaskReport{Task: domain.TaskID{Job: jobName(7), Index: i}, Attempt: 1, State: domain.ReportedRunning}
	}
	c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Addr: "a", Type: "box", Zone: "a", AgentEpoch: 1, Sequence: 1, PreemptionNotice: -1, Tasks: reports}, true)

	c.sendDirectStops(m)
	stopped, requests := map[domain.TaskID]int{}, 0
	for _, effect := range c.effects {
		request, ok := effect.(SendCommands)
		if !ok {
			continue // a log line
		}
		requests++
		checkMessageSize(t, request.Commands)
		for _, command := range request.Commands {
			stopped[command.Task]++
		}
	}
	if requests != 2 || len(stopped) != tasks {
		t.Errorf("%d requests stop %d tasks, want 2 for all %d", requests, len(stopped), tasks)
	}

	answers := 0
	for ; len(reports) > 0 && answers < 5; answers++ { // each stopped task is gone from the next report
		commands := c.commandsFor(m, m.sequence)
		checkMessageSize(t, commands)
		reports = reports[len(commands):]
		c.recordHeartbeat(m, &domain.Heartbeat{Machine: m.Name, Type: "box", Zone: "a", AgentEpoch: 1, Sequence: m.sequence + 1, PreemptionNotice: -1, Tasks: reports}, true)
	}
	if answers != 2 || len(reports) > 0 {
		t.Errorf("%d tasks are left after %d answers, want none after 2", len(reports), answers)
	}
}

// checkMessageSize checks that commands fit into one message.
func checkMessageSize(t *testing.T, commands []domain.Command) {
	t.Helper()
	size := int64(tuning.CommandsHeaderBytes)
	for _, command := range commands {
		size += maxCommandBytes(command)
	}
	if size > tuning.BodyLimit {
		t.Errorf("%d commands may take %d bytes, more than a message may have", len(commands), size)
	}
}
