// Package ownership determines which controller owns what under a view: each machine, the shard
// in which a job's tasks wait, and the leadership. All its functions are pure functions of their
// arguments, so that controllers with the same view agree without communicating.
package ownership

import (
	"slices"

	"brassglade/internal/domain"
)

// OfMachine returns the owner of a machine under a view, or "" if there is none. This is the
// owner of the machine's override, if that controller serves, and otherwise the result of
// rendezvous hashing over the serving controllers. In a zoned view the hash covers only the
// serving controllers of the machine's zone, if there are any. A machine never changes its zone,
// so that every caller that knows the zone finds the same owner; for an unknown zone, given as
// "", a zoned view yields none. zoneOf maps controllers to their zones.
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
	return Rendezvous(machine, servingInZone(view, zoneOf, zone))
}

// servingInZone returns the serving controllers of a zone, or all of them if the zone has none.
func servingInZone(view *domain.View, zoneOf map[string]string, zone string) []string {
	var inZone []string
	for _, controller := range view.Serving {
		if zoneOf[controller] == zone {
			inZone = append(inZone, controller)
		}
	}
	if len(inZone) == 0 {
		return view.Serving
	}
	return inZone
}

// OfShard returns the controller that is responsible for what was put into a shard. Each shard
// has the name of a controller. If that controller doesn't serve, rendezvous hashing of the key
// selects another one, without any write.
func OfShard(view *domain.View, shard, key string) string {
	if slices.Contains(view.Serving, shard) {
		return shard
	}
	return Rendezvous(key, view.Serving)
}

// NextLeader returns the leader under the view after the present one. The leader stays while its
// process stays a member and serves. Otherwise the first serving controller leads whose process
// was a member before or, if there is none, the first serving controller. next must have at least
// one serving controller.
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
