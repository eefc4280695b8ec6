package scheduler

// Guard names one check that keeps an invariant of docs/design.md. All guards are enabled
// outside of tests. Tests disable one and verify that a violation is noticed, so that no
// check is superfluous. The scripts of the simulation refer to the guards by their string
// values, which must not change.
type Guard string

// The guards, each with the invariant or rule that it keeps.
const (
	// GuardNone disables no guard.
	GuardNone Guard = ""

	// GuardFence lets a controller act only while view and lease are confirmed by requests
	// younger than the fence age (invariant 2). Without it two controllers could command one
	// machine.
	GuardFence Guard = "fence"
	// GuardProof books a task elsewhere only once its last attempt is proven to be stopped
	// (invariant 5). Without it a task could run twice at the same time.
	GuardProof Guard = "proof"
	// GuardQuota starts tasks only within the limit of their team (invariant 9).
	GuardQuota Guard = "quota"
	// GuardAbandonedEpoch refuses to answer an agent epoch that was abandoned, since its
	// tasks may run elsewhere by now (invariant 6).
	GuardAbandonedEpoch Guard = "dead"

	// GuardPendingRelease sends no start for a booking whose release was tried, since the
	// release may still be committed (invariant 4).
	GuardPendingRelease Guard = "doom"
	// GuardView takes the view from the watch alone, never from the controller's own
	// proposal, so that a controller that sees an epoch has seen every commit of the earlier
	// ones (invariant 7).
	GuardView Guard = "view"
	// GuardForget tells a machine to forget an ended task only once its outcome is committed:
	// the agent would run a forgotten attempt again if its start were sent again (invariant
	// 8).
	GuardForget Guard = "clear"
	// GuardCordons makes each booking conditional on the page of cordons of its machine,
	// since the machine may be returned between plan and commit (invariant 10).
	GuardCordons Guard = "gone"
	// GuardSnapshot ignores items of a snapshot that are newer than its first page: a chunk
	// that is read without its header would be dropped, and its revision would hide it from
	// the watch (invariant 12).
	GuardSnapshot Guard = "page"
	// GuardBook books the tasks queued on a machine as soon as there is room. Without it
	// tasks would wait forever although machines have room.
	GuardBook Guard = "book"
	// GuardReadIndex delays the answer about a state that may still change until the cache
	// has reached a read index (invariant 11).
	GuardReadIndex Guard = "index"
	// GuardNeverRuns rejects jobs that can never run.
	GuardNeverRuns Guard = "never"

	// GuardDraft counts the changes that a draft already holds when the tasks of a job are
	// looked up (invariant 21).
	GuardDraft Guard = "draft"

	// GuardReportRoom books no more tasks on a machine than its report can list (invariant 23).
	GuardReportRoom Guard = "report"

	// GuardDependencies starts no task of a job before all jobs that it depends on are done
	// (invariant 16).
	GuardDependencies Guard = "needs"
	// GuardCascade cancels the jobs that depend on a cancelled job (invariant 17).
	GuardCascade Guard = "cascade"
)

// isGuardEnabled reports whether a guard is enabled.
func (c *Controller) isGuardEnabled(g Guard) bool { return c.cfg.DisabledGuard != g }
