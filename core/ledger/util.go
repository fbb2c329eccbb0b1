package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in ascending order, so that decisions do not depend on the iteration
// order of the map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
