// Package ownership says which controller owns what under a view: each machine, the shard
// in which a job's tasks wait, and the lead. All of it are pure functions of the view, so that
// controllers with the same view agree without a word between them.
package ownership

import (
	"slices"

	"brassglade/internal/domain"
)

// OfMachine is the owner of a machine under a view, "" for none: its override, or the
// rendezvous hash over the serving controllers. While zones are apart it is the hash over
// those of the machine's own zone, if any serve there. A machine never changes its zone, so
// whoever knows the zone finds the same owner; whoever doesn't, and passes "", finds none.
// zoneOf maps controllers to their zones.
func OfMachine(view *domain.View, zoneOf map[string]string, machine, zone string) string {
	if view == nil {
		return ""
	}
	if owner := view.OwnerOverrides[machine]; owner != "" && slices.Contains(view.Serving, owner) {
		return owner
	}
	if !view.OwnedByZone {
		return Rendezvous(machine, view.Serving)
	}
	if zone == "" {
		return ""
	}
	return Rendezvous(machine, servingNear(view, zoneOf, zone))
}

// servingNear are the serving controllers of a zone, or all of them if there are none.
func servingNear(view *domain.View, zoneOf map[string]string, zone string) []string {
	var near []string
	for _, controller := range view.Serving {
		if zoneOf[controller] == zone {
			near = append(near, controller)
		}
	}
	if len(near) == 0 {
		return view.Serving
	}
	return near
}

// OfShard is the controller that cares for what was put into a shard, each shard having the
// name of a controller. What is in the shard of one that doesn't serve falls to the
// rendezvous hash of its key, without any write.
func OfShard(view *domain.View, shard, key string) string {
	if slices.Contains(view.Serving, shard) {
		return shard
	}
	return Rendezvous(key, view.Serving)
}

// NextLeader is who leads under the view after the present one: the same leader while its
// process stays and serves. Else the first that serves leads, one that stayed before one
// that is new. At least one controller serves under the next view.
func NextLeader(present, next *domain.View) string {
	stayed := func(controller string) bool {
		return present.Members[controller] == next.Members[controller]
	}
	leader := present.Leader
	if next.Members[leader] != "" && stayed(leader) && slices.Contains(next.Serving, leader) {
		return leader
	}
	if k := slices.IndexFunc(next.Serving, stayed); k >= 0 {
		return next.Serving[k]
	}
	return next.Serving[0]
}
