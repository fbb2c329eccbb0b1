//go:build review

package main

import (
	"fmt"
	"time"
)

// Times of playTopUp, from the confirmation of the top-up on.
const (
	// drillAt is when the store goes away and all processes are killed, and awayTime how long both are gone.
	drillAt, awayTime = 16 * time.Second, time.Second
	// copyAt is when the copy was made from which the store comes back: 7.5 s before its return.
	copyAt = 9500 * time.Millisecond
	// trafficTime is how long requests are sent.
	trafficTime = 66 * time.Second
)

// playTopUp raises the prepaid tokens of a tenant tenfold. Later the store is in a drill, during which all processes are killed and started again.
func playTopUp(rec *recorder, dir string) int {
	s, err := newScene(rec, dir)
	if err != nil {
		return ran(rec, err)
	}
	defer s.fleet.killAll()
	t := &tenant{name: "lagos", key: "key-lagos", prepaid: 200_000, size: size{10_000, 70}}
	s.configure(t)
	if err := s.fleet.startAll(true); err != nil {
		return ran(rec, err)
	}
	s.fleet.watchReadiness()
	time.Sleep(lead)
	s.requesters.run([]*tenant{t}, 1, 5*time.Second)
	t.mu.Lock()
	t.prepaid = 2_000_000
	t.mu.Unlock()
	s.configure(t)
	raised := time.Now()
	s.requesters.wg.Go(func() { s.requesters.run([]*tenant{t}, 25, trafficTime) })
	time.Sleep(time.Until(raised.Add(drillAt)))
	if s.trouble {
		s.store.setMode(storeSilent)
		s.fleet.killAll()
		time.Sleep(time.Until(raised.Add(drillAt + awayTime)))
		s.store.restore(time.Since(raised.Add(copyAt)))
		s.store.setMode(storeUp)
		s.configure(t) // the operator writes again what it wrote
		if err := s.fleet.startAll(false); err != nil {
			return ran(rec, err)
		}
	}
	s.requesters.wg.Wait()
	return s.judgeBudget(t)
}

// judgeBudget returns the exit code by the rule BUDGET: a tenant gets no more than it has prepaid.
func (s *scene) judgeBudget(t *tenant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.rec.printf("budgets in the store: %s", s.store.budgets())
	text := fmt.Sprintf("BUDGET: tenant %s got %d tokens; it has prepaid %d", t.name, t.consumed, t.prepaid)
	s.rec.printf("%s", text)
	fmt.Println(text)
	if t.consumed > t.prepaid {
		return exitBroken
	}
	return exitHeld
}
