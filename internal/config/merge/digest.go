package merge

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards into which teams are divided, so that two VMs can
// compare their configurations by a few hashes. The configuration feed of the
// platform's table uses the same shards.
const Shards = 32

// ShardOf returns the shard of a team, from 0 to Shards-1.
func ShardOf(team string) int {
	return int(xxhash.Sum64String(team) % Shards)
}

// Digest holds, for each shard, a hash of the active revisions of its teams.
type Digest [Shards]uint64

// Digest returns the hashes of the active revisions. They don't depend on the order
// in which the revisions arrived.
func (s *Store) Digest() Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var digest Digest
	for team, c := range s.teams {
		digest[ShardOf(team)] ^= xxhash.Sum64String(team + "/" + strconv.FormatUint(c.Revision, 10))
	}
	return digest
}

// DifferingShards returns the shards, in ascending order, whose hashes differ in d and
// other.
func (d Digest) DifferingShards(other Digest) []int {
	var shards []int
	for shard := range d {
		if d[shard] != other[shard] {
			shards = append(shards, shard)
		}
	}
	return shards
}
