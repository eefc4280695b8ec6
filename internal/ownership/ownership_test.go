package ownership

import (
	"testing"

	"brassglade/internal/domain"
)

// TestOnlyMachinesOfALeavingControllerChangeOwner checks that a machine keeps its owner when
// another controller leaves, and that each controller owns about an equal share of the machines.
func TestOnlyMachinesOfALeavingControllerChangeOwner(t *testing.T) {
	three, two := &domain.View{Serving: []string{"a", "b", "c"}}, &domain.View{Serving: []string{"a", "c"}}
	count := map[string]int{}
	for i := range 300 {
		machine := "n-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		owner := OfMachine(three, nil, machine, "")
		count[owner]++
		if after := OfMachine(two, nil, machine, ""); owner != "b" && after != owner {
			t.Fatalf("%s changed owner from %s, which still serves, to %s", machine, owner, after)
		}
	}
	for _, controller := range three.Serving {
		if count[controller] < 60 {
			t.Errorf("%s owns %d of 300 machines, want at least 60", controller, count[controller])
		}
	}
}

// TestOfMachine checks that overrides take precedence over the hash, and that a zoned view keeps
// machines in their own zones.
func TestOfMachine(t *testing.T) {
	serving := []string{"c-0", "c-1", "c-2", "c-3"}
	zoneOf := map[string]string{"c-0": "a", "c-1": "a", "c-2": "b", "c-3": "b"}
	override := map[string]string{"n-1": "c-3"}
	for name, test := range map[string]struct {
		view *domain.View
		zone string
		want string
	}{
		"no view":                            {nil, "a", ""},
		"none serve":                         {&domain.View{}, "a", ""},
		"by hash":                            {&domain.View{Serving: serving}, "a", Rendezvous("n-1", serving)},
		"by hash, of an unknown zone":        {&domain.View{Serving: serving}, "", Rendezvous("n-1", serving)},
		"by override":                        {&domain.View{Serving: serving, OwnerOverrides: override}, "a", "c-3"},
		"by override, though zoned":          {&domain.View{Serving: serving, OwnerOverrides: override, OwnedByZone: true}, "a", "c-3"},
		"override to one that doesn't serve": {&domain.View{Serving: serving[:2], OwnerOverrides: override}, "a", Rendezvous("n-1", serving[:2])},
		"of another machine's override":      {&domain.View{Serving: serving[:3], OwnerOverrides: map[string]string{"n-2": "c-2"}}, "a", Rendezvous("n-1", serving[:3])},
		"zoned, in a":                        {&domain.View{Serving: serving, OwnedByZone: true}, "a", Rendezvous("n-1", serving[:2])},
		"zoned, in b":                        {&domain.View{Serving: serving, OwnedByZone: true}, "b", Rendezvous("n-1", serving[2:])},
		"zoned, none serves in its zone":     {&domain.View{Serving: serving[:2], OwnedByZone: true}, "b", Rendezvous("n-1", serving[:2])},
		"zoned, of an unknown zone":          {&domain.View{Serving: serving, OwnedByZone: true}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := OfMachine(test.view, zoneOf, "n-1", test.zone); got != test.want {
				t.Errorf("owned by %q, want %q", got, test.want)
			}
		})
	}
}

// TestOfShard checks that the contents of a shard whose controller doesn't serve are distributed
// over the serving controllers by the hash.
func TestOfShard(t *testing.T) {
	view := &domain.View{Serving: []string{"c-0", "c-2"}}
	for name, test := range map[string]struct{ shard, key, want string }{
		"serves":                        {"c-2", "job-000001", "c-2"},
		"serves no longer":              {"c-1", "job-000001", Rendezvous("job-000001", view.Serving)},
		"another key of the same shard": {"c-1", "job-000002", Rendezvous("job-000002", view.Serving)},
		"no shard":                      {"", "job-000001", Rendezvous("job-000001", view.Serving)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := OfShard(view, test.shard, test.key); got != test.want {
				t.Errorf("shard belongs to %q, want %q", got, test.want)
			}
		})
	}
	if got := OfShard(&domain.View{}, "c-1", "job-000001"); got != "" {
		t.Errorf("shard belongs to %q while no controller serves", got)
	}
}

// TestNextLeader checks that the leader stays while the same process of it serves; otherwise the
// first serving controller that was a member before leads, and a new one only if there is no
// other.
func TestNextLeader(t *testing.T) {
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
	for name, test := range map[string]struct {
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
		t.Run(name, func(t *testing.T) {
			if got := NextLeader(&present, &domain.View{Members: test.members, Serving: test.serving}); got != test.want {
				t.Errorf("%s leads, want %s", got, test.want)
			}
		})
	}
}
