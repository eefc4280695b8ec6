package scheduler

import (
	"strconv"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// maxReportBytes returns the most bytes that a task takes in a report if the number of its attempt
// has the given number of digits.
func maxReportBytes(id domain.TaskID, attemptDigits int) int64 {
	return tuning.TaskReportBytes + int64(len(id.Job)+decimalDigits(uint64(id.Index))+attemptDigits)
}

// maxCommandBytes returns the most bytes that a command takes in an answer or a direct request.
func maxCommandBytes(command domain.Command) int64 {
	bytes := tuning.CommandBytes + int64(len(command.Task.Job)+decimalDigits(uint64(command.Task.Index))+decimalDigits(command.Attempt))
	if command.Kind == domain.StopTask {
		bytes += tuning.GracePeriodBytes
	}
	return bytes
}

// decimalDigits returns the number of decimal digits of n.
func decimalDigits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

// splitByMessage returns the first commands, as many as fit into one message, and the others.
func splitByMessage(commands []domain.Command) (message, rest []domain.Command) {
	left := int64(tuning.BodyLimit - tuning.CommandsHeaderBytes)
	for i := range commands {
		if left -= maxCommandBytes(commands[i]); left < 0 {
			return commands[:i:i], commands[i:]
		}
	}
	return commands, nil
}

// startBudget is the room for starts in the answer to a heartbeat, after the commands that come
// before them.
type startBudget struct {
	answerBytes int64 // left in the answer
	reportBytes int64 // left in the report of the machine, after it has executed the answer
}

// startVerdict is whether a start fits into an answer, or what has no room for it.
type startVerdict int

const (
	startFits startVerdict = iota
	reportFull
	answerFull
)

// newStartBudget returns the room for starts in the answer to the machine's last report. The
// commands are those that the answer begins with: the machine executes them first. Since it sends
// one heartbeat at a time, and only answers start tasks, its next report lists the attempts of this
// one without those that it is told to forget and with those that it is told to start.
func newStartBudget(m *Machine, commands []domain.Command) startBudget {
	budget := startBudget{
		answerBytes: tuning.BodyLimit - tuning.CommandsHeaderBytes,
		reportBytes: tuning.BodyLimit - tuning.ReportHeaderBytes - m.listBytes,
	}
	for _, command := range commands {
		budget.answerBytes -= maxCommandBytes(command)
		if command.Kind == domain.ForgetTask {
			budget.reportBytes += maxReportBytes(command.Task, decimalDigits(command.Attempt))
		}
	}
	return budget
}

// take reduces the budget by a start if it fits.
func (b *startBudget) take(start domain.Command) startVerdict {
	inAnswer, inReport := maxCommandBytes(start), maxReportBytes(start.Task, decimalDigits(start.Attempt))
	switch {
	case inReport > b.reportBytes:
		return reportFull
	case inAnswer > b.answerBytes:
		return answerFull
	}
	b.answerBytes -= inAnswer
	b.reportBytes -= inReport
	return startFits
}
