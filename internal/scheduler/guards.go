package scheduler

// Guard names one check that keeps an invariant of docs/design.md. Outside tests all
// stand; tests take one away and see that the checker of rules notices, so that no check
// is there for show. Scripts know the guards by their strings, which stay as they are.
type Guard string

// The guards, each with what it keeps.
const (
	// GuardNone takes nothing away.
	GuardNone Guard = ""

	// GuardFence lets a controller act only while view and lease are confirmed by requests
	// younger than the fence age (invariant 2). Without it two owners command one machine.
	GuardFence Guard = "fence"
	// GuardProof books a task elsewhere only once its last attempt is proven off
	// (invariant 5). Without it a task runs twice.
	GuardProof Guard = "proof"
	// GuardQuota starts tasks only within their team's limit (invariant 9).
	GuardQuota Guard = "quota"
	// GuardAbandonedEpoch never answers an agent epoch that was abandoned, whose tasks may
	// run elsewhere by now (invariant 6).
	GuardAbandonedEpoch Guard = "dead"

	// GuardPendingRelease sends no start of a booking whose release was tried: the release may
	// still be carried out (invariant 4).
	GuardPendingRelease Guard = "doom"
	// GuardView takes the view from the watch alone, so that whoever sees an epoch has seen
	// every commit of the earlier ones (invariant 7).
	GuardView Guard = "view"
	// GuardForget has a machine forget an ended task only once its outcome is committed:
	// the agent no longer knows it, and a start would run it anew (invariant 8).
	GuardForget Guard = "clear"
	// GuardCordons books under the condition of the machine's page of cordons, since the
	// machine may be returned between plan and commit (invariant 10).
	GuardCordons Guard = "gone"
	// GuardSnapshot takes nothing from a snapshot that is newer than its first page: a chunk
	// without its header would be dropped, and its revision hide it (invariant 12).
	GuardSnapshot Guard = "page"
	// GuardBook books from the queues of machines what waits where there is room; without it
	// tasks starve.
	GuardBook Guard = "book"
	// GuardReadIndex answers what may still change behind a read index (invariant 11).
	GuardReadIndex Guard = "index"
	// GuardNeverRuns accepts nothing that can never run.
	GuardNeverRuns Guard = "never"

	// GuardDraft counts what a draft holds already where a job's tasks are asked for
	// (invariant 21).
	GuardDraft Guard = "draft"

	// GuardDependencies starts nothing before all that it depends on is done (invariant 16).
	GuardDependencies Guard = "needs"
	// GuardCascade cancels what depends on a cancelled job (invariant 17).
	GuardCascade Guard = "cascade"
)

// isGuardEnabled tells whether a isGuardEnabled stands.
func (c *Controller) isGuardEnabled(g Guard) bool { return c.cfg.DisabledGuard != g }
