package scheduler

import (
	"slices"
	"testing"

	"brassglade/internal/domain"
)

// TestChooseLeader: the leader stays while this process of it serves; else the first that
// serves and was there before follows, and a new one only if there is no other.
func TestChooseLeader(t *testing.T) {
	members := func(incarnations ...string) map[string]string {
		m := map[string]string{}
		for i, incarnation := range incarnations {
			if incarnation != "" {
				m[[]string{"c-0", "c-1", "c-2"}[i]] = incarnation
			}
		}
		return m
	}
	present := domain.View{Leader: "c-1", Members: members("a", "b", "c"), Serving: []string{"c-0", "c-1", "c-2"}}
	for name, x := range map[string]struct {
		members map[string]string
		serving []string
		want    string
	}{
		"stays":                            {members("a", "b", "c"), []string{"c-0", "c-1", "c-2"}, "c-1"},
		"left":                             {members("a", "", "c"), []string{"c-0", "c-2"}, "c-0"},
		"left, and the first is new":       {members("a2", "", "c"), []string{"c-0", "c-2"}, "c-2"},
		"restarted":                        {members("a", "b2", "c"), []string{"c-0", "c-1", "c-2"}, "c-0"},
		"no longer serves":                 {members("a", "b", "c"), []string{"c-0", "c-2"}, "c-0"},
		"all restarted":                    {members("a2", "b2", "c2"), []string{"c-0", "c-1", "c-2"}, "c-0"},
		"all but one that serves stayed":   {members("a2", "b", "c"), []string{"c-0"}, "c-0"},
		"left, the first no longer serves": {members("a", "", "c"), []string{"c-2"}, "c-2"},
	} {
		d := &viewDraft{present: &present, next: &domain.View{Members: x.members, Serving: slices.Clone(x.serving)}}
		if chooseLeader(d); d.next.Leader != x.want {
			t.Errorf("%s: %s leads, want %s", name, d.next.Leader, x.want)
		}
	}
}
