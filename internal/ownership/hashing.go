package ownership

// Hash is FNV-1a over the parts, each closed by a byte that no text has, with a
// finishing mix: FNV alone hardly carries the last bytes into the high bits, by which
// rendezvous hashing decides. All controllers, of this version and the one before, must
// find the same values, so it never changes.
func Hash(parts ...string) uint64 {
	hash := uint64(14695981039346656037)
	for _, part := range parts {
		for i := 0; i < len(part); i++ {
			hash = (hash ^ uint64(part[i])) * 1099511628211
		}
		hash = (hash ^ 0xff) * 1099511628211
	}
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Rendezvous gives the key to one of the controllers, "" if there are none: to that with
// the highest hash of controller and key (D. G. Thaler and C. V. Ravishankar, "Using
// name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6, 1998).
// Whichever controller comes or goes, only the keys that it gains or loses change hands.
func Rendezvous(key string, controllers []string) string {
	best, highest := "", uint64(0)
	for _, controller := range controllers {
		if hash := Hash(controller, key); best == "" || hash > highest {
			best, highest = controller, hash
		}
	}
	return best
}
