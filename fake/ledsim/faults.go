package ledsim

import "time"

// injectFault injects a random fault and schedules the next one.
func (r *Run) injectFault() {
	if r.healed {
		return
	}
	r.scheduler.After(r.randomUpTo(2*r.FaultEvery), r.injectFault)
	index := r.rand.IntN(len(r.nodes))
	switch r.rand.IntN(10) {
	case 0:
		r.takeLogDown()
	case 1:
		r.slowLog()
	case 2, 3:
		r.partition()
	case 4:
		r.makeLogUnreachable(index)
	case 5, 6:
		r.pause(index)
	case 7:
		r.Stats.Kills++
		r.kill(index)
	case 8:
		r.Stats.Stops++
		r.stop(index)
	case 9:
		r.snapshotAndTrim(index)
	}
}

// faultDuration returns a random duration: up to 4 s in most cases, else up to 3 minutes.
func (r *Run) faultDuration() time.Duration {
	if r.rand.IntN(8) == 0 {
		return r.randomUpTo(3 * time.Minute)
	}
	return r.randomUpTo(4 * time.Second)
}

func (r *Run) takeLogDown() {
	if r.rand.IntN(4) > 0 {
		return
	}
	r.Stats.Outages++
	r.log.Down = true
	r.scheduler.After(r.faultDuration(), func() { r.log.Down = false })
}

func (r *Run) slowLog() {
	r.log.Delay = func() time.Duration { return r.randomUpTo(4 * time.Second) }
	r.scheduler.After(r.faultDuration(), func() { r.log.Delay = r.ordinaryDelay })
}

// partition separates two instances, or a group of instances from the others and the log.
func (r *Run) partition() {
	r.Stats.Cuts++
	var pairs [][2]int
	a, b := r.rand.IntN(len(r.nodes)), r.rand.IntN(len(r.nodes))
	if r.rand.IntN(3) > 0 {
		pairs = append(pairs, [2]int{min(a, b), max(a, b)})
	} else {
		for i := range a {
			r.makeLogUnreachable(i)
			for j := a; j < len(r.nodes); j++ {
				pairs = append(pairs, [2]int{i, j})
			}
		}
	}
	for _, p := range pairs {
		r.partitions[p] = true
	}
	r.scheduler.After(r.faultDuration(), func() {
		for _, p := range pairs {
			delete(r.partitions, p)
		}
	})
}

func (r *Run) makeLogUnreachable(index int) {
	n := r.nodes[index]
	n.LogUnreachable = true
	r.scheduler.After(r.faultDuration(), func() { n.LogUnreachable = false })
}

func (r *Run) pause(index int) {
	n := r.nodes[index]
	if n.Paused() {
		return
	}
	r.Stats.Pauses++
	n.Pause(r.faultDuration())
}

// snapshotAndTrim lets an instance, possibly a lagging one, write a snapshot, and in a third of
// the cases trims old records afterwards.
func (r *Run) snapshotAndTrim(index int) {
	r.Stats.Snapshots++
	n := r.nodes[index]
	n.Do(n.AppendSnapshot)
	if r.rand.IntN(3) > 0 {
		return
	}
	keep := 20 + r.rand.IntN(2000)
	r.scheduler.After(r.randomUpTo(2*time.Second), func() {
		r.Stats.Trims++
		r.log.Trim(max(keep, int(r.log.Head()-r.checker.snapshotNext)))
	})
}
