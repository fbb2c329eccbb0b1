// Package rendez implements rendezvous hashing: instances that know the same nodes rank them alike for each key without
// exchanging messages, and a new node changes few ranks. It is used by the packages that divide work among instances or targets.
package rendez

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a node for a key, given the hashes of both. The node with the highest score ranks first.
func Score(key, node uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], node)
	return xxhash.Sum64(b[:])
}
