package observation

import (
	"math"
	"sort"
	"time"
)

// DigestBuckets is the number of buckets of a Digest.
const DigestBuckets = 64

// Digest is a fingerprint of a store's conclusions, by which a peer finds the observations that the store
// lacks. Dispatchers of different versions send and compare digests: the same records must have the same
// digest in all versions.
type Digest [DigestBuckets]uint64

// digestBucket returns the bucket that a key falls into.
func digestBucket(key Key) int {
	hash := (hash32(fnvOffset32, key.Engine) ^ uint32(key.Property)) * fnvPrime32
	return int(hash32(hash, key.Parameter) % DigestBuckets)
}

// maxDigestVotes is the number of observers up to which a digest distinguishes their number.
const maxDigestVotes = 3

// Digest returns the fingerprint of the conclusions: for each key the quantized median, and whether one, two,
// or three or more observers have records of the key. It does not cover the records themselves: in a large
// fleet all dispatchers observe all engines all the time, so records differ everywhere, and new conclusions
// would be lost among those that every member knows. It does not cover times, which differ between
// dispatchers. It does not cover model parameters.
func (s *Store) Digest(now time.Duration) (digest Digest) {
	var values []float64
	for _, records := range s.engines {
		for key, all := range records {
			if key.Property == ModelParameter {
				continue
			}
			if values = currentValues(values[:0], now, key.Property, all); len(values) == 0 {
				continue
			}
			sort.Float64s(values)
			digest[digestBucket(key)] ^= conclusionHash(key, values)
		}
	}
	return digest
}

// currentValues appends the values of the records that have not expired to values.
func currentValues(values []float64, now time.Duration, property Property, records []Record) []float64 {
	for i := range records {
		if now-records[i].ObservedAt <= propertySpecs[property].ttl {
			values = append(values, records[i].Value)
		}
	}
	return values
}

// conclusionHash hashes the conclusion about a key from its sorted values.
func conclusionHash(key Key, sorted []float64) uint64 {
	hash := (hash64(fnvOffset64, key.Engine) ^ uint64(key.Property)) * fnvPrime64
	hash = (hash ^ uint64(min(len(sorted), maxDigestVotes))) * fnvPrime64
	hash = hash64(hash, key.Parameter)
	median := quantize(sorted[len(sorted)/2], propertySpecs[key.Property].tolerance)
	for i := range 4 { // the low 32 bits of the median
		hash = (hash ^ uint64(byte(median>>(8*i)))) * fnvPrime64
	}
	return hash
}

// quantize returns the number of the step that a value falls into. Below 1, and for a tolerance of 0, a step
// is one half. From 1 on each step is 1+tolerance times the one before.
func quantize(value, tolerance float64) int {
	if tolerance <= 0 || value < 1 {
		return int(math.Round(2 * value))
	}
	return 2 + int(math.Round(math.Log(value)/math.Log1p(tolerance)))
}

// AnswerDigest returns at most limit observations that the sender of a digest may lack, or may know with
// another value: those in the buckets that differ, the freshest first.
func (s *Store) AnswerDigest(now time.Duration, theirs Digest, limit int) []Observation {
	ours := s.Digest(now)
	missing := s.collect(now, func(key Key) bool {
		bucket := digestBucket(key)
		return key.Property != ModelParameter && ours[bucket] != theirs[bucket]
	})
	return missing[:min(len(missing), limit)]
}
