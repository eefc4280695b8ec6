package scheduler

import (
	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/monotime"
	"brassglade/internal/tuning"
)

// formats is the state of announcing this controller's format, and of whether the key-value
// store's limits are known to be lower than before.
type formats struct {
	announcing       bool              // a commit of the format is in flight
	nextAnnouncement monotime.Deadline // no announcement before then; set after each response
	limitsLowered    bool              // a refused commit showed that the lower limits apply
}

// isFormatOn reports whether all controllers read the format of this version, and keep what is
// written in it.
func (c *cache) isFormatOn() bool { return c.format >= codec.CurrentFormat }

// announceFormat announces this controller's format. The leader turns the format on once all have
// announced it.
func (c *Controller) announceFormat() {
	if c.cache.isFormatOn() || c.formats.announcing || !c.formats.nextAnnouncement.HasPassed(c.now) || !c.mayAct() || c.cfg.PreviousFormat {
		return
	}
	if c.cache.announcedFormats[c.cfg.Controller] < codec.CurrentFormat {
		c.commitFormat(codec.PrefixFormat+c.cfg.Controller, codec.Format{Version: codec.CurrentFormat, Incarnation: c.membership.Incarnation()})
	} else if c.isLeader() && c.cache.allAnnounced(c.cfg.Controllers) {
		c.commitFormat(codec.KeyFormat, codec.Format{Version: codec.CurrentFormat})
	}
}

// allAnnounced reports whether all controllers have announced the format. These are the
// controllers of the settings, not only those of the view: one that is down may come back with
// the previous version.
func (c *cache) allAnnounced(controllers []string) bool {
	for _, controller := range controllers {
		if c.announcedFormats[controller] < codec.CurrentFormat {
			return false
		}
	}
	return true
}

// commitFormat writes an announcement, or that the format is on, on condition that the view is
// one that contains this incarnation. Whatever an earlier process of this controller sent was
// conditional on an older view, so none of it can be carried out once the format is on.
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

// applyFormat records the format that a controller announced or, if controller is "", the format
// that is on for all.
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
	if !c.cache.isFormatOn() && format.Version >= codec.CurrentFormat {
		c.info("format on", "version", format.Version)
	}
	c.cache.format = max(c.cache.format, format.Version)
	return true, nil
}
