package kvstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"time"

	json "github.com/goccy/go-json"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

type snapshotPage struct {
	Items     []item `json:"Items"`
	Truncated bool   `json:"Truncated"` // another page follows
	Revision  uint64 `json:"Ledger"`
}

type watchResponse struct {
	Revision uint64       `json:"Ledger"`
	Events   []watchEvent `json:"Events"`
}

// watchEvent is the change of one key: Set names a key that was set, Delete one that was
// deleted; the other is empty.
type watchEvent struct {
	Set         string          `json:"Set"`
	Delete      string          `json:"Delete"`
	Value       json.RawMessage `json:"V"`
	ModRevision uint64          `json:"Stamp"`
}

// Watch keeps the scheduler's cache up to date until the context ends: it emits a snapshot,
// then the changes in the order of their revisions, and a new snapshot whenever changes were
// missed. clock is the scheduler's monotonic clock.
func (c *Client) Watch(ctx context.Context, clock func() time.Duration, emit func(scheduler.Event)) {
	for ctx.Err() == nil {
		since, err := c.loadSnapshot(emit)
		if err != nil {
			time.Sleep(tuning.ConfirmationRetry)
			continue
		}
		c.watchFrom(ctx, since, clock, emit)
	}
}

// watchFrom emits the changes after a revision until a new snapshot is needed or the context
// ends.
func (c *Client) watchFrom(ctx context.Context, since uint64, clock func() time.Duration, emit func(scheduler.Event)) {
	for ctx.Err() == nil {
		next, stale := c.fetchChanges(since, clock, emit)
		if stale {
			return
		}
		since = next
	}
}

// loadSnapshot reads all keys and emits them as one event. It returns the revision of the
// first page: a watch from there also reports what changed while later pages were read.
func (c *Client) loadSnapshot(emit func(scheduler.Event)) (revision uint64, err error) {
	loaded := scheduler.SnapshotLoaded{}
	after := ""
	for first := true; ; first = false {
		page, err := c.fetchSnapshotPage(after)
		if err != nil {
			return 0, err
		}
		if first {
			loaded.Revision = page.Revision
		}
		for _, i := range page.Items {
			loaded.AddItem(i.toKeyValue(i.Key))
			after = i.Key
		}
		if !page.Truncated || len(page.Items) == 0 {
			break
		}
	}
	emit(loaded)
	return loaded.Revision, nil
}

// fetchSnapshotPage reads the page of keys that follows the key after; "" reads the first
// page.
func (c *Client) fetchSnapshotPage(after string) (snapshotPage, error) {
	c.limiter.Wait(scheduler.LaneView, 0)
	path := fmt.Sprintf("%s?Starts=%s&Page=%d", keysPath, codec.Root, keysPerPage)
	if after != "" {
		path += "&Since=" + url.QueryEscape(after)
	}
	out, err := get(c.watchHTTP, path, 2*tuning.StateTimeout)
	if err != nil {
		return snapshotPage{}, err
	}
	var page snapshotPage
	if err := decode(out, &page); err != nil {
		return snapshotPage{}, err
	}
	return page, nil
}

// fetchChanges waits up to tuning.WatchWait for changes after the revision since and emits
// them. next is the revision to continue from; stale reports that changes were or may have
// been missed, so that a new snapshot is needed.
func (c *Client) fetchChanges(since uint64, clock func() time.Duration, emit func(scheduler.Event)) (next uint64, stale bool) {
	c.limiter.Wait(scheduler.LaneView, 0)
	sent := clock()
	path := fmt.Sprintf("%s?Starts=%s&Since=%d&WaitMs=%d", watchPath, codec.Root, since, tuning.WatchWait.Milliseconds())
	out, err := get(c.watchHTTP, path, tuning.WatchWait+tuning.StateTimeout)
	if errors.Is(err, errCompacted) {
		return 0, true
	}
	if err != nil {
		time.Sleep(tuning.ConfirmationRetry)
		return since, false
	}
	var response watchResponse
	if err := decode(out, &response); err != nil {
		slog.Error("cannot decode the response to a watch; loading a new snapshot", "error", err)
		return 0, true
	}
	emit(response.toEvent(sent))
	time.Sleep(c.watchPause)
	return max(since, response.Revision), false
}

// toEvent converts the response to the scheduler's event, with the changes sorted by revision.
// Changes of the same revision keep their order, in which headers come before their chunks.
// sent is when the watch was sent, by the scheduler's clock.
func (w watchResponse) toEvent(sent time.Duration) scheduler.WatchAdvanced {
	advanced := scheduler.WatchAdvanced{Sent: sent, Revision: w.Revision}
	for _, e := range w.Events {
		advanced.Items = append(advanced.Items, e.toKeyValue())
	}
	sort.SliceStable(advanced.Items, func(a, b int) bool {
		return advanced.Items[a].ModRevision < advanced.Items[b].ModRevision
	})
	return advanced
}

// toKeyValue converts a change; the value is copied out of the response's buffer and nil for a
// deleted key.
func (e watchEvent) toKeyValue() domain.KeyValue {
	if e.Set == "" {
		return domain.KeyValue{Key: e.Delete, ModRevision: e.ModRevision}
	}
	return domain.KeyValue{Key: e.Set, Value: bytes.Clone(e.Value), ModRevision: e.ModRevision}
}
