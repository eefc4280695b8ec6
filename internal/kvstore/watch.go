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

// watchEvent tells of one key that was set or deleted.
type watchEvent struct {
	Set         string          `json:"Set"`
	Delete      string          `json:"Delete"`
	Value       json.RawMessage `json:"V"`
	ModRevision uint64          `json:"Stamp"`
}

// Watch feeds the scheduler's cache until the context ends: a snapshot, then changes in
// order, and a new snapshot where changes were missed. clock is the scheduler's steady
// time.
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

// watchFrom emits changes after a revision until a new snapshot is needed.
func (c *Client) watchFrom(ctx context.Context, since uint64, clock func() time.Duration, emit func(scheduler.Event)) {
	for ctx.Err() == nil {
		next, again := c.fetchChanges(since, clock, emit)
		if again {
			return
		}
		since = next
	}
}

// loadSnapshot reads all keys and emits them as one event. Its revision is that of the first
// page: what changes while the others are read comes again with the watch.
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
			loaded.Items = append(loaded.Items, i.toKeyValue(i.Key))
			after = i.Key
		}
		if !page.Truncated || len(page.Items) == 0 {
			break
		}
	}
	emit(loaded)
	return loaded.Revision, nil
}

// fetchSnapshotPage reads the keys that follow one; "" reads the first.
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

// fetchChanges waits for the fetchChanges after a revision and emits them; again: a new snapshot is
// needed.
func (c *Client) fetchChanges(since uint64, clock func() time.Duration, emit func(scheduler.Event)) (next uint64, again bool) {
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
	var answer watchResponse
	if err := decode(out, &answer); err != nil {
		slog.Error("watch answer", "error", err)
		return 0, true
	}
	emit(answer.toEvent(sent))
	time.Sleep(c.watchPause)
	return max(since, answer.Revision), false
}

// toEvent is the scheduler's form of the changes, in the order of their revisions. Within
// one revision the order stays, in which headers come before their chunks.
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

// toKeyValue copies the value out of the answer's buffer; a deleted key has none.
func (e watchEvent) toKeyValue() domain.KeyValue {
	if e.Set == "" {
		return domain.KeyValue{Key: e.Delete, ModRevision: e.ModRevision}
	}
	return domain.KeyValue{Key: e.Set, Value: bytes.Clone(e.Value), ModRevision: e.ModRevision}
}
