package observation

// FNV-1a as in hash/fnv, without its allocations: members hash all their records once a second.
const (
	fnvOffset32 = uint32(2166136261)
	fnvPrime32  = 16777619
	fnvOffset64 = uint64(14695981039346656037)
	fnvPrime64  = 1099511628211
)

// knuthMultiplier is the multiplier of Knuth's multiplicative hashing: a prime near 2^32 divided by the
// golden ratio. Ranks of observers depend on it, so it must not change.
const knuthMultiplier = 0x9e3779b1

// hash32 continues a hash with a text.
func hash32(hash uint32, text string) uint32 {
	for i := range len(text) {
		hash = (hash ^ uint32(text[i])) * fnvPrime32
	}
	return hash
}

// hash64 continues a hash with a text.
func hash64(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime64
	}
	return hash
}
