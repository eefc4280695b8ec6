package scheduler

// Guards that tests may take away, to see that the rule checker notices.
const (
	GuardFence = "fence" // answer check-ins only behind a fresh confirmation
	GuardProof = "proof" // book elsewhere only what is proven off
	GuardQuota = "quota" // start only within the team's limit
	GuardDead  = "dead"  // never answer a session that was given up

	GuardDoom  = "doom"  // send no run of a booking whose release was tried
	GuardView  = "view"  // take the view from the watch alone
	GuardClear = "clear" // clear an ended task only when its outcome is committed
	GuardGone  = "gone"  // book under the condition of the machine's page of marks
	GuardPage  = "page"  // take nothing from a snapshot that is newer than its first page
	GuardBook  = "book"  // book what waits where there is room
	GuardIndex = "index" // answer what may change behind a read index
	GuardNever = "never" // accept nothing that can't run

	GuardDraft = "draft" // count what a draft holds where a job's tasks are asked for

	GuardNeeds   = "needs"   // start nothing before all that it awaits is done
	GuardCascade = "cascade" // cancel what needs a cancelled job
)

// guard tells whether a guard stands; outside tests all do.
func (c *Controller) guard(name string) bool { return c.cfg.DisabledGuard != name }
