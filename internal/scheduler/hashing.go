package scheduler

// hash64 is FNV-1a over the parts, each closed by a byte that no text has, with a
// finishing mix: FNV alone hardly carries the last bytes into the high bits, by which
// rendezvous hashing decides. All controllers, of this version and the one before, must
// find the same values, so it never changes.
func hash64(parts ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range parts {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// rendezvous gives the key to one of the nodes, "" if there are none: to that with the
// highest hash of node and key. Whichever node comes or goes, only the keys that it gains
// or loses change hands.
func rendezvous(key string, nodes []string) string {
	best, highest := "", uint64(0)
	for _, node := range nodes {
		if h := hash64(node, key); best == "" || h > highest {
			best, highest = node, h
		}
	}
	return best
}
