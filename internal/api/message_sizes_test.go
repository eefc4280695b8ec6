package api

import (
	"math"
	"strings"
	"testing"

	json "github.com/goccy/go-json"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// TestMessageSizeConstants compares the sizes that the scheduler assumes of reports and commands
// with their longest encoded forms. If it assumed less, messages could exceed the protocol's
// limit; if it assumed more, machines would get fewer tasks than they can report.
func TestMessageSizeConstants(t *testing.T) {
	const job, index, attempt = "job-12345678901234567890", 99999, 999999
	names := len(job) + len("99999")
	longest := taskReport{Task: formatTaskID(domain.TaskID{Job: job, Index: index}), Attempt: attempt, State: "ended", Cause: "mates_gone", Saved: false}
	if got, want := encodedSize(t, longest)+len(","), tuning.MaxTaskReportBytes; got != want {
		t.Errorf("a task takes %d bytes in a report, want %d", got, want)
	}
	if got, want := tuning.MaxTaskReportBytes, tuning.TaskReportBytes+names+tuning.AttemptDigits; got != want {
		t.Errorf("the longest task of a report is assumed to take %d bytes, want %d", got, want)
	}
	longName := strings.Repeat("n", 190)
	header := heartbeat{
		Machine: longName, Address: longName, MachineType: longName, Zone: longName, AgentEpoch: math.MaxUint64, Sequence: math.MaxUint64,
		FencingToken: math.MaxUint64, PreemptionNotice: new(float64), Tasks: []taskReport{},
	}
	*header.PreemptionNotice = math.MaxFloat64
	if got := encodedSize(t, header); got > tuning.ReportHeaderBytes {
		t.Errorf("a report without tasks takes %d bytes, more than the %d kept for it", got, tuning.ReportHeaderBytes)
	}

	forget := domain.Command{Kind: domain.ForgetTask, Task: domain.TaskID{Job: job, Index: index}, Attempt: attempt}
	stop := forget
	stop.Kind, stop.GraceSeconds = domain.StopTask, 1.2345678901234567e-101
	if got, want := encodedSize(t, newCommands([]domain.Command{forget})[0])+len(","), tuning.CommandBytes+names+len("999999"); got != want {
		t.Errorf("a command takes %d bytes, want %d", got, want)
	}
	if got, want := encodedSize(t, newCommands([]domain.Command{stop})[0])+len(","), tuning.CommandBytes+tuning.GracePeriodBytes+names+len("999999"); got != want {
		t.Errorf("a stop takes %d bytes, want %d", got, want)
	}
	if got := encodedSize(t, Commands{FencingToken: math.MaxUint64, AgentEpoch: math.MaxUint64, Commands: []command{}}); got > tuning.CommandsHeaderBytes {
		t.Errorf("a request without commands takes %d bytes, more than the %d kept for it", got, tuning.CommandsHeaderBytes)
	}
}

func encodedSize(t *testing.T, value any) int {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}
