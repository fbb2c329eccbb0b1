package router

import (
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/rate"
	"cranberryrail/core/roster"
	"cranberryrail/core/zones"
)

// initZones creates the components that know evacuated zones and the regions of zones.
func (r *Router) initZones() {
	r.orders = &zones.Orders{OnChange: r.zoneChanged}
	var err error
	if r.regions, err = zones.ParseRegions(r.Settings.Instance.Regions); err != nil {
		r.regions = zones.Regions{} // The settings were checked; requests with homes are refused without regions.
	}
}

// ordersIn returns the orders to evacuate zones among records; only those in force if newest is set.
func (r *Router) ordersIn(records []logs.Record, newest bool) []zones.Order {
	var orders []zones.Order
	for _, record := range records {
		zone, ok := r.Platform.ParseOrderKey(record.Key)
		if evacuated := len(record.Value) > 0; ok && (evacuated || !newest) {
			orders = append(orders, zones.Order{Zone: zone, Offset: record.Offset, Evacuated: evacuated})
		}
	}
	return orders
}

// zoneChanged logs that a zone is evacuated, or taken back.
func (r *Router) zoneChanged(zone string, evacuated bool) {
	event := events.ZoneRestored
	if evacuated {
		event = events.ZoneEvacuated
	}
	events.Log(r.Log, event).Str("zone", zone).Send()
}

// applyOrders passes the evacuated zones to the choice of targets.
func (r *Router) applyOrders() { r.routeClient.SetEvacuated(r.orders.Evacuated()) }

// applyCold sets the limits of cold targets. One whose entry does not state whether it is cold counts as cold for as long as targets of its service are after a start.
func (r *Router) applyCold(targets []roster.Target) {
	t := r.table.Current()
	if t == nil {
		return
	}
	now := time.Now()
	var cold []rate.Cold
	for _, target := range targets {
		service := t.Service(target.Service)
		until := target.ColdUntil
		if target.ColdUnknown {
			until = target.FirstSeen.Add(service.ColdStart)
		}
		if service.ColdPerSecond > 0 && now.Before(until) {
			cold = append(cold, rate.Cold{
				Incarnation: target.Incarnation, PerSecond: service.ColdPerSecond, Until: until,
				Burst: max(r.Settings.Target.ColdOver-1, 0)*service.ColdPerSecond + r.Settings.Target.ColdSlack,
			})
		}
	}
	r.rates.SetCold(cold)
}

// EvacuatedZone is an evacuated zone as shown to operators.
type EvacuatedZone struct {
	Zone string `json:"zone"`
	// ForMS is the time since this instance read the order, and InFlight the number of its requests that targets in the zone still run.
	ForMS    int64 `json:"for_ms"`
	InFlight int   `json:"in_flight"`
}

// evacuated returns the evacuated zones with the requests in flight there.
func (r *Router) evacuated() []EvacuatedZone {
	names := r.orders.Evacuated()
	if len(names) == 0 {
		return []EvacuatedZone{}
	}
	inFlight, err := r.routeClient.InFlightIn()
	if err != nil {
		events.Log(r.Log, events.StateUnsent).Err(err).Send()
	}
	list := make([]EvacuatedZone, 0, len(names))
	for _, name := range names {
		since, _ := r.orders.Since(name)
		list = append(list, EvacuatedZone{Zone: name, ForMS: time.Since(since).Milliseconds(), InFlight: inFlight[name]})
	}
	return list
}

// countZones updates the metrics of evacuated zones and cold targets.
func (r *Router) countZones() {
	inFlight := 0
	list := r.evacuated()
	for _, z := range list {
		inFlight += z.InFlight
	}
	r.Meter.Evacuated(len(list), inFlight)
	r.Meter.ColdTargets(r.rates.Colds())
}
