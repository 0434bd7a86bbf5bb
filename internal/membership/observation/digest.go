package observation

import (
	"math"
	"sort"
	"time"
)

// DigestBuckets is the size of a Digest.
const DigestBuckets = 64

// Digest is a fingerprint of what a store concludes, by which a peer sees what another lacks. It is sent, and
// dispatchers of different versions compare theirs: the same records must have the same digest in all.
type Digest [DigestBuckets]uint64

// digestBucket is the bucket that a key falls into.
func digestBucket(key Key) int {
	hash := (hash32(fnvOffset32, key.Engine) ^ uint32(key.Property)) * fnvPrime32
	return int(hash32(hash, key.Parameter) % DigestBuckets)
}

// maxDigestVotes is how many observers make a difference to a conclusion: more are not distinguished.
const maxDigestVotes = 3

// Digest returns the fingerprint of the conclusions: of each key the median, quantized, and whether one, two
// or more observers support it. It is not one of records: in a large fleet all dispatchers observe all
// engines all the time, so that records always differ everywhere, and news would be lost among what every
// member knows. Nor are times in it, as they differ between dispatchers.
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

// currentValues appends the values of the records that have not expired.
func currentValues(values []float64, now time.Duration, property Property, records []Record) []float64 {
	for i := range records {
		if now-records[i].ObservedAt <= propertyTerms[property].ttl {
			values = append(values, records[i].Value)
		}
	}
	return values
}

// conclusionHash hashes what is concluded of a key from sorted values.
func conclusionHash(key Key, sorted []float64) uint64 {
	hash := (hash64(fnvOffset64, key.Engine) ^ uint64(key.Property)) * fnvPrime64
	hash = (hash ^ uint64(min(len(sorted), maxDigestVotes))) * fnvPrime64
	hash = hash64(hash, key.Parameter)
	median := quantize(sorted[len(sorted)/2], propertyTerms[key.Property].tolerance)
	for i := range 4 { // its low 32 bits
		hash = (hash ^ uint64(byte(median>>(8*i)))) * fnvPrime64
	}
	return hash
}

// quantize returns the number of a value's step. Above 1 the steps grow with the value, by the fraction that
// makes no difference.
func quantize(value, tolerance float64) int {
	if tolerance <= 0 || value < 1 {
		return int(math.Round(2 * value))
	}
	return 2 + int(math.Round(math.Log(value)/math.Log1p(tolerance)))
}

// AnswerDigest returns at most limit observations that the sender of a digest lacks, or has otherwise: those
// in the buckets that differ.
func (s *Store) AnswerDigest(now time.Duration, theirs Digest, limit int) []Observation {
	ours := s.Digest(now)
	missing := s.collect(now, func(key Key) bool {
		bucket := digestBucket(key)
		return key.Property != ModelParameter && ours[bucket] != theirs[bucket]
	})
	return missing[:min(len(missing), limit)]
}
