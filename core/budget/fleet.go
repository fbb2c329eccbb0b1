package budget

import (
	"maps"
	"slices"
)

// announceEarlierFleet states the instances of the first read if this one is among them: the others know of it, since it registered in an earlier process. The
// caller holds the partition's lock.
func (p *partition) announceEarlierFleet() {
	sy := p.syncer
	_, registered := p.instances[sy.Instance]
	if p.index == 0 && registered && !p.firstLoaded && !sy.FirstStart {
		sy.OnInstances(slices.Collect(maps.Keys(p.instances)), false)
	}
}
