package scheduler

// confirmNow takes view and lease as confirmed by requests sent now.
func (c *Controller) confirmNow() { c.membership.AssumeConfirmed(c.now) }
