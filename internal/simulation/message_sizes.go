package simulation

import (
	"strconv"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// messageLimit is the largest request body, and the longest line of a response, in bytes.
const messageLimit = 64 << 10

// The protocol's JSON without names and numbers, whose lengths are added. The names of machines,
// types and zones in the simulation are short, so that a header of a report is well below
// reportHeader.
const (
	reportHeader   = 256
	listedTask     = len(`{"Piece":"/","Try":,"Status":""},`)
	listedCause    = len(`,"Cause":""`)
	listedSaved    = len(`,"Saved":true`)
	commandsHeader = len(`{"Baton":,"Shift":,"Orders":[]}`) + 2*20
	listedCommand  = len(`{"Verb":"","Piece":"/","Try":},`)
	listedGrace    = len(`,"LeewayS":`)
)

// reportSize returns the length of a heartbeat in bytes.
func reportSize(heartbeat *domain.Heartbeat) int {
	size := reportHeader
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		size += listedTask + attemptSize(report.Task, report.Attempt) + len(report.State)
		if report.Cause != "" {
			size += listedCause + len(report.Cause)
		}
		if report.Saved {
			size += listedSaved
		}
	}
	return size
}

// commandsSize returns the length of commands in a response or a direct request, in bytes.
func commandsSize(commands []domain.Command) int {
	size := commandsHeader
	for i := range commands {
		command := &commands[i]
		size += listedCommand + len(command.Kind) + attemptSize(command.Task, command.Attempt)
		if command.Kind == domain.StopTask {
			size += listedGrace + len(strconv.FormatFloat(command.GraceSeconds, 'g', -1, 64))
		}
	}
	return size
}

// attemptSize returns the length of a job's name and of the numbers of a task and an attempt.
func attemptSize(id domain.TaskID, attempt uint64) int {
	return len(id.Job) + len(strconv.Itoa(id.Index)) + len(strconv.FormatUint(attempt, 10))
}

// isTooLong (too_long) reports whether a message between a machine and a controller is longer than
// the protocol allows, and records that as a violation.
func (w *worker) isTooLong(message string, size int) bool {
	if size <= messageLimit {
		return false
	}
	w.cluster.violated(ruleTooLong, "%s of %s has %d bytes", message, w.name, size)
	return true
}

// checkReplySize returns the reply to a heartbeat, or an empty one, which has no status, if the
// machine can't read it because a line of it is too long.
func (w *worker) checkReplySize(reply scheduler.HeartbeatReply) scheduler.HeartbeatReply {
	if w.isTooLong("a reply", commandsSize(reply.Commands)) {
		return scheduler.HeartbeatReply{}
	}
	return reply
}
