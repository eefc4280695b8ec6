package ownership

// Hash returns the 64-bit FNV-1a hash of the parts, each followed by a byte that occurs in no
// text, and finally mixed: FNV alone hardly propagates the last bytes into the high bits, which
// decide in rendezvous hashing. It must never change, since all controllers, of this version and
// of the previous one, must compute the same values.
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

// Rendezvous returns the controller to which the key belongs, or "" if there are no controllers:
// the one with the highest hash of controller and key (D. G. Thaler and C. V. Ravishankar, "Using
// name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6, 1998). When
// a controller is added or removed, only the keys that it gains or loses change owner.
func Rendezvous(key string, controllers []string) string {
	best, highest := "", uint64(0)
	for _, controller := range controllers {
		if hash := Hash(controller, key); best == "" || hash > highest {
			best, highest = controller, hash
		}
	}
	return best
}
