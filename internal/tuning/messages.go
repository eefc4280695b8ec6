package tuning

// Messages between controllers and workers, in bytes unless said otherwise. A report, and the body
// of a request with commands, have at most BodyLimit bytes; so has a line of an answer.
const (
	// ReportHeaderBytes is the part of a report that is kept for everything but the list of
	// tasks: the names of the machine, its type, its zone and its address, and counters.
	ReportHeaderBytes = 1 << 10
	// TaskReportBytes is the most that a task takes in a report, with the longest state and
	// cause, besides the name of its job and the digits of its index and its attempt.
	TaskReportBytes = 73
	// AttemptDigits is the number of digits of an attempt's number that room is kept for. More
	// would take a million starts of one task.
	AttemptDigits = 6
	// MaxTaskReportBytes is TaskReportBytes with the longest name of a job, the largest index
	// and AttemptDigits.
	MaxTaskReportBytes = TaskReportBytes + 24 + 5 + AttemptDigits
	// CommandsHeaderBytes is the part of an answer or request that is kept for everything but
	// the list of commands.
	CommandsHeaderBytes = 128
	// TransactionEntryBytes is the most that a condition or a change takes in a transaction
	// besides its key and value.
	TransactionEntryBytes = 64
	// CommandBytes is the most that a command takes besides the name of its job and the digits
	// of its index and its attempt. GracePeriodBytes is what a stop takes in addition, with the
	// longest number of seconds.
	CommandBytes     = 36
	GracePeriodBytes = 33
)
