package tuning

import "time"

// Workers.
const (
	// HeartbeatHold is how long an answer waits for orders that are on their way,
	// or for a first task if the machine is idle; the worker waits 4 s, and a
	// slow node must still be in time.
	HeartbeatHold = 2 * time.Second
	// CordonInterval is the pause between commits of marks in wide fleets, so that
	// each carries many; CordonDebt is how many seconds' worth of changes they may
	// overdraw.
	CordonInterval = 1500 * time.Millisecond
	CordonDebt     = 4.0
	// IdleCordonInterval is the same when only idle machines are to be marked.
	IdleCordonInterval = 6 * time.Second
	// ReplySettleTime is the least time after an answer at which a report may show it:
	// workers report half a second apart at the least.
	ReplySettleTime = 400 * time.Millisecond
	// MaxUnheededReplies reports in a row that show no effect of the answers before
	// them mean a machine that can't be reached.
	MaxUnheededReplies = 2
	// Silent is the silence after which a machine counts as lost, if most
	// others of its owner still report.
	Silent = 13 * time.Second
	// SilentFew machines of a zone, if this node has no more there, may be marked
	// lost though none of the zone is heard, if most others are.
	SilentFew = 4
	// SilentCut is the same while a peer is silent too: a cut may lie between,
	// and machines beyond it find other owners meanwhile.
	SilentCut = 27 * time.Second
	// TakeoverSilence is added after a change of owner: the workers first
	// have to find the new one.
	TakeoverSilence = 12 * time.Second
	// StopRepeat is the pause between direct halts to one machine.
	StopRepeat = 2 * time.Second
	// PreemptionMargin is kept free of a recall's time when tasks are told to save.
	PreemptionMargin = 1500 * time.Millisecond
	// FaultyErrors in a row on one machine, by different jobs where there are
	// several, mean a sick machine.
	FaultyErrors = 2
	// FaultySettle is the time that a job has to be tried elsewhere, some placements and
	// fetches, before the machine where it failed is blamed.
	FaultySettle = 30 * time.Second
	// MaxErrorRowPause bounds the pause of a machine on which tasks fail in a row: some
	// placements, so that a sick one fails few until tasks of their jobs were done
	// elsewhere.
	MaxErrorRowPause = 10 * time.Second
	// ErrorPause is the first pause of a job after an error; it doubles.
	ErrorPause = 1 * time.Second
	// DoubtAfter tries in a row that failed, a job is tried one task at a time.
	DoubtAfter = 3
	// MaxErrorPause bounds it.
	MaxErrorPause = 45 * time.Second
	// RefusedPause keeps a machine that refused for lack of room unbooked.
	RefusedPause = 2 * time.Second
)
