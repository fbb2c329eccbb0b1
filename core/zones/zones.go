// Package zones knows which availability zones are evacuated, by the orders that operators write to the platform's log, and in which regions requests may be
// processed.
package zones

import (
	"slices"
	"sync"
	"time"
)

// maxOrders bounds the zones of which an order is remembered. It is far above the zones of a platform.
const maxOrders = 1024

// notInLog is the offset of an order that the log does not hold.
const notInLog = -1

// Order is the newest order for one zone.
type Order struct {
	Zone string
	// Offset is that of its record in the log.
	Offset int64
	// Evacuated is set if no new request may be sent to targets in the zone, and false if that was taken back.
	Evacuated bool
}

// Orders folds the orders of operators. It is safe for concurrent use. Exported fields are set before the first call.
type Orders struct {
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// OnChange is called when a zone is evacuated, or taken back; optional. It must not call Orders.
	OnChange func(zone string, evacuated bool)

	mu     sync.Mutex
	orders map[string]*order
}

// order is what is known of one zone.
type order struct {
	Order

	// kept is set if the log was restored from an older copy that differs from what this instance had read before.
	kept  bool
	since time.Time
}

// String returns the name of the orders for logs.
func (o *Orders) String() string { return "orders to evacuate zones" }

// Apply applies orders that were read from the log, in order.
func (o *Orders) Apply(read []Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range read {
		o.set(r)
	}
}

// set makes an order that the log holds the present one.
func (o *Orders) set(r Order) {
	known := o.orders[r.Zone]
	if known == nil {
		known = o.add(r.Zone)
	}
	if known == nil {
		return
	}
	changed := known.Evacuated != r.Evacuated
	known.Order, known.kept = r, false
	if changed {
		o.changed(known)
	}
}

// add adds a zone, in place of one that is not evacuated if there are too many.
func (o *Orders) add(zone string) *order {
	if o.orders == nil {
		o.orders = map[string]*order{}
	}
	if len(o.orders) >= maxOrders {
		for name, known := range o.orders {
			if !known.Evacuated {
				delete(o.orders, name)
				break
			}
		}
	}
	if len(o.orders) >= maxOrders {
		return nil
	}
	known := &order{Order: Order{Zone: zone, Offset: notInLog}}
	o.orders[zone] = known
	return known
}

func (o *Orders) changed(known *order) {
	now := time.Now
	if o.Now != nil {
		now = o.Now
	}
	known.since = now()
	if o.OnChange != nil {
		o.OnChange(known.Zone, known.Evacuated)
	}
}

// Reset replaces the orders by those that the log holds. If it was restored from an older copy, what this instance had read before remains in force until the log
// holds another order for the zone: an accepted order must not be lost, and one that was taken back must not return.
func (o *Orders) Reset(held []Order, restored bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	inLog := make(map[string]Order, len(held))
	for _, r := range held {
		inLog[r.Zone] = r
	}
	for zone, known := range o.orders {
		r, found := inLog[zone]
		if !found {
			r = Order{Zone: zone, Offset: notInLog}
		}
		switch {
		case restored:
			known.kept = known.Evacuated != r.Evacuated
			known.Offset = r.Offset
		case known.kept && r.Offset == known.Offset:
		default:
			o.set(r)
		}
		delete(inLog, zone)
	}
	for _, r := range inLog {
		o.set(r)
	}
}

// Evacuated returns the evacuated zones in alphabetical order.
func (o *Orders) Evacuated() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for zone, known := range o.orders {
		if known.Evacuated {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	return names
}

// Since returns when a zone was evacuated, and whether it is.
func (o *Orders) Since(zone string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.orders[zone]
	if known == nil || !known.Evacuated {
		return time.Time{}, false
	}
	return known.since, true
}
