//go:build review

package main

import "time"

// cases are the cases by name.
var cases = map[string]func(rec *recorder, dir string) int{
	"top-up":       playTopUp,
	"first-drill":  playFirstDrill,
	"first-outage": playFirstOutage,
	"new-tenant":   playNewTenant,
	"drill":        playDrill,
}

// lead is the time from the start of the machines to that of the traffic.
const lead = 10 * time.Second

// copyAge is the age of the copy in a drill of the store.
const copyAge = 5 * time.Second

// firstTenants are the tenants of a system that starts for the first time. Their requests use less than a third of what they have prepaid.
func firstTenants() []*tenant {
	return []*tenant{{name: "lagos", key: "key-lagos", prepaid: 2_000_000, size: chat}, {name: "yaba", key: "key-yaba", prepaid: 2_000_000, size: chat}}
}

// playFirstDrill starts the system for the first time. 4 s later, before the traffic starts, the store is away for 1 s and comes back from a copy.
func playFirstDrill(rec *recorder, dir string) int {
	s, err := newScene(rec, dir)
	if err != nil {
		return ran(rec, err)
	}
	defer s.fleet.killAll()
	tenants := firstTenants()
	s.configure(tenants...)
	time.Sleep(2 * beatInterval)
	started := time.Now()
	if err := s.fleet.startAll(true); err != nil {
		return ran(rec, err)
	}
	s.fleet.watchReadiness()
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.store.setMode(storeSilent)
		time.Sleep(time.Second)
		s.store.restore(copyAge)
		s.store.setMode(storeUp)
		s.configure(tenants...) // the operator writes again what it wrote
	}
	time.Sleep(time.Until(started.Add(lead)))
	s.requesters.run(tenants, 20, 30*time.Second)
	s.requesters.wg.Wait()
	return s.judgeDenied(started.Add(lead), tenants...)
}

// playFirstOutage starts the system for the first time. The store, which was in a drill before that, is down for the first 4.5 s.
func playFirstOutage(rec *recorder, dir string) int {
	s, err := newScene(rec, dir)
	if err != nil {
		return ran(rec, err)
	}
	defer s.fleet.killAll()
	tenants := firstTenants()
	s.store.restore(copyAge)
	s.configure(tenants...)
	time.Sleep(2 * beatInterval)
	if s.trouble {
		s.store.setMode(storeSilent)
	}
	started := time.Now()
	if err := s.fleet.startAll(true); err != nil {
		return ran(rec, err)
	}
	s.fleet.watchReadiness()
	time.Sleep(4500 * time.Millisecond)
	s.store.setMode(storeUp)
	time.Sleep(time.Until(started.Add(lead)))
	s.requesters.run(tenants, 20, 30*time.Second)
	s.requesters.wg.Wait()
	return s.judgeDenied(started.Add(lead), tenants...)
}

// playNewTenant adds a tenant by a config, right after whose confirmation all processes are killed. The store was in a drill before the system started
// for the first time.
func playNewTenant(rec *recorder, dir string) int {
	s, err := newScene(rec, dir)
	if err != nil {
		return ran(rec, err)
	}
	defer s.fleet.killAll()
	first, added := &tenant{name: "lagos", key: "key-lagos", prepaid: 2_000_000, size: chat}, &tenant{name: "yaba", key: "key-yaba", prepaid: 2_000_000, size: chat}
	s.store.restore(copyAge)
	s.configure(first)
	if err := s.fleet.startAll(true); err != nil {
		return ran(rec, err)
	}
	s.fleet.watchReadiness()
	time.Sleep(lead)
	s.requesters.run([]*tenant{first}, 20, 10*time.Second)
	s.configure(first, added)
	back := time.Now()
	if s.trouble {
		s.fleet.killAll()
		time.Sleep(time.Second)
		if err := s.fleet.startAll(false); err != nil {
			return ran(rec, err)
		}
		back = time.Now()
	}
	time.Sleep(contact)
	s.requesters.run([]*tenant{first, added}, 20, 25*time.Second)
	s.requesters.wg.Wait()
	return s.judgeDenied(back.Add(contact), first, added)
}

// playDrill restores the store once from a copy that is 5 s old.
func playDrill(rec *recorder, dir string) int {
	s, err := newScene(rec, dir)
	if err != nil {
		return ran(rec, err)
	}
	defer s.fleet.killAll()
	const rate, length = 20.0, 60 * time.Second
	// The tenant sends at most nine tenths of what it has paid for.
	paid := int64(rate * length.Seconds() * float64(chat.total()) / 0.9)
	t := &tenant{name: "lagos", key: "key-lagos", prepaid: paid, size: chat}
	s.configure(t)
	if err := s.fleet.startAll(true); err != nil {
		return ran(rec, err)
	}
	s.fleet.watchReadiness()
	time.Sleep(lead)
	s.requesters.run([]*tenant{t}, rate, length/2)
	back := time.Now()
	if s.trouble {
		s.store.setMode(storeSilent)
		time.AfterFunc(time.Second, func() {
			s.store.restore(copyAge)
			s.store.setMode(storeUp)
			s.configure(t) // the operator writes again what it wrote
		})
		back = back.Add(time.Second)
	}
	s.requesters.run([]*tenant{t}, rate, length/2)
	s.requesters.wg.Wait()
	return s.judgeDenied(back.Add(contact), t)
}
