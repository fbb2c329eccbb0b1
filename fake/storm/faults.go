package storm

import "time"

// fault makes something go wrong, and the next fault.
func (r *Run) fault() {
	if r.healed {
		return
	}
	r.sched.After(r.upTo(2*r.Every), r.fault)
	place := r.rand.IntN(len(r.nodes))
	switch r.rand.IntN(10) {
	case 0:
		r.outage()
	case 1:
		r.slow()
	case 2, 3:
		r.partition()
	case 4:
		r.cutLog(place)
	case 5, 6:
		r.pause(place)
	case 7:
		r.Stats.Kills++
		r.kill(place)
	case 8:
		r.Stats.Stops++
		r.stop(place)
	case 9:
		r.trim(place)
	}
}

// length returns how long a fault lasts: mostly short, at times long.
func (r *Run) length() time.Duration {
	if r.rand.IntN(8) == 0 {
		return r.upTo(3 * time.Minute)
	}
	return r.upTo(4 * time.Second)
}

func (r *Run) outage() {
	if r.rand.IntN(4) > 0 {
		return
	}
	r.Stats.Outages++
	r.log.Down = true
	r.sched.After(r.length(), func() { r.log.Down = false })
}

func (r *Run) slow() {
	r.log.Delay = func() time.Duration { return r.upTo(4 * time.Second) }
	r.sched.After(r.length(), func() { r.log.Delay = r.ordinaryDelay })
}

// partition parts two places, or one group of places from the rest and the log.
func (r *Run) partition() {
	r.Stats.Cuts++
	var pairs [][2]int
	a, b := r.rand.IntN(len(r.nodes)), r.rand.IntN(len(r.nodes))
	if r.rand.IntN(3) > 0 {
		pairs = append(pairs, [2]int{min(a, b), max(a, b)})
	} else {
		for i := range a {
			r.cutLog(i)
			for j := a; j < len(r.nodes); j++ {
				pairs = append(pairs, [2]int{i, j})
			}
		}
	}
	for _, p := range pairs {
		r.cut[p] = true
	}
	r.sched.After(r.length(), func() {
		for _, p := range pairs {
			delete(r.cut, p)
		}
	})
}

func (r *Run) cutLog(place int) {
	n := r.nodes[place]
	n.Cut = true
	r.sched.After(r.length(), func() { n.Cut = false })
}

func (r *Run) pause(place int) {
	n := r.nodes[place]
	if n.Paused() {
		return
	}
	r.Stats.Pauses++
	n.Pause(r.length())
}

// trim drops old records after some instance, maybe a lagging one, wrote a snapshot.
func (r *Run) trim(place int) {
	r.Stats.Snapshots++
	n := r.nodes[place]
	n.Do(n.Snapshot)
	if r.rand.IntN(3) > 0 {
		return
	}
	keep := 20 + r.rand.IntN(2000)
	r.sched.After(r.upTo(2*time.Second), func() {
		r.Stats.Trims++
		r.log.Trim(max(keep, int(r.log.Head()-r.watch.snapshot)))
	})
}
