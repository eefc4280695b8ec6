package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// formats is how far this controller is with announcing its format, and whether the
// key-value store's limits are known to have fallen.
type formats struct {
	announcing       bool              // a commit of it is in flight
	nextAnnouncement monotime.Deadline // closed for a while after each answer
	limitsFell       bool              // a refusal showed that values must be smaller now
}

// formatOn tells whether all controllers read and keep what this version writes.
func (c *cache) formatOn() bool { return c.format >= codec.CurrentFormat }

// announceFormat announces this controller's format, and as the leader turns it on.
func (c *Controller) announceFormat() {
	if c.cache.formatOn() || c.formats.announcing || !c.formats.nextAnnouncement.HasPassed(c.now) || !c.mayAct() || c.cfg.PreviousFormat {
		return
	}
	if c.cache.announcedFormats[c.cfg.Node] < codec.CurrentFormat {
		c.commitFormat(codec.PrefixFormat+c.cfg.Node, codec.Format{Version: codec.CurrentFormat, Incarnation: c.membership.Incarnation()})
	} else if c.isLeader() && c.cache.allAnnounced(c.cfg.Nodes) {
		c.commitFormat(codec.KeyFormat, codec.Format{Version: codec.CurrentFormat})
	}
}

// allAnnounced tells whether all controllers, those of the settings and not only of the view,
// have announced the format: one that is down may come back as the version before.
func (c *cache) allAnnounced(controllers []string) bool {
	for _, controller := range controllers {
		if c.announcedFormats[controller] < codec.CurrentFormat {
			return false
		}
	}
	return true
}

// commitFormat writes an announcement, or that the format is on, behind a view that has this
// incarnation only: whatever an earlier process of this controller sent was conditional on an
// older view, so nothing of it can be carried out any more once the format is on.
func (c *Controller) commitFormat(key string, format codec.Format) {
	c.formats.announcing = true
	c.commit(LaneView, domain.Transaction{
		Conditions: []domain.Condition{
			{Key: codec.KeyView, ModRevision: c.cache.modRevisions[codec.KeyView]},
			{Key: key, ModRevision: c.cache.modRevisions[key]},
		},
		Puts: []domain.Put{{Key: key, Value: codec.Encode(format)}},
	}, func(domain.CommitResult, CommitAnswered) {
		c.formats.announcing = false
		c.formats.nextAnnouncement.Set(c.now + tuning.FormatRetry)
	})
}

// applyFormat takes what one controller announced or, for "", that the format is on.
func (c *Controller) applyFormat(controller string, value []byte) (matters bool, err error) {
	if value == nil {
		return false, nil
	}
	format, err := codec.Decode[codec.Format](value)
	if err != nil {
		return false, err
	}
	if controller != "" {
		c.cache.announcedFormats[controller] = format.Version
		return true, nil
	}
	if !c.cache.formatOn() && format.Version >= codec.CurrentFormat {
		c.info("format on", "version", format.Version)
	}
	c.cache.format = max(c.cache.format, format.Version)
	return true, nil
}
