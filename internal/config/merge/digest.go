package merge

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of parts into which teams are divided, so that two VMs
// can compare what they have by a few hashes. The table's feed uses the same
// division.
const Shards = 32

// ShardOf returns the shard of a team.
func ShardOf(team string) int {
	return int(xxhash.Sum64String(team) % Shards)
}

// Digest is a hash of the revisions of each shard.
type Digest [Shards]uint64

// Digest returns the hashes of the revisions in force. They don't depend on
// the order in which the revisions arrived.
func (s *Store) Digest() Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var digest Digest
	for team, c := range s.teams {
		digest[ShardOf(team)] ^= xxhash.Sum64String(team + "/" + strconv.FormatUint(c.Revision, 10))
	}
	return digest
}

// Differing returns the shards whose hashes differ.
func (d Digest) Differing(other Digest) []int {
	var shards []int
	for shard := range d {
		if d[shard] != other[shard] {
			shards = append(shards, shard)
		}
	}
	return shards
}
