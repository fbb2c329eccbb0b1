package audit

import (
	"fmt"
	"slices"
	"time"

	"cranberryrail/core/table"
)

// minColdPerSecond is the rate of requests below which a cold target gets fewer than one in each second, whatever the size of the fleet.
const minColdPerSecond = 1

// maxColdStart is longer than targets take to become warm.
const maxColdStart = time.Hour

// checkCold reports limits of cold targets that have no effect or that no fleet can use.
func (r *report) checkCold(key string, s *table.Service) {
	switch {
	case s.ColdPerSecond > 0 && s.ColdStart <= 0:
		r.add(Warning, key+".cold_start", "a limit of cold targets without the time for which they are cold", "a target that does not state how long it is cold counts as warm")
	case s.ColdPerSecond <= 0 && s.ColdStart > 0:
		r.add(Warning, key+".cold_per_second", "targets are cold after a start, and the requests a second that they bear are absent or 0", "cold targets get as many requests as others")
	case s.ColdPerSecond > 0 && s.ColdPerSecond < minColdPerSecond:
		r.add(Warning, key+".cold_per_second", fmt.Sprintf("cold targets bear %g requests a second", s.ColdPerSecond), "a fleet of several instances may send them none")
	}
	if s.ColdStart > maxColdStart {
		r.add(Warning, key+".cold_start", fmt.Sprintf("targets are cold for %v after a start", s.ColdStart), "they get few requests for as long")
	}
}

// checkHomes reports regions that are named twice or are empty.
func (r *report) checkHomes(key string, homes []string) {
	for i, region := range homes {
		item := fmt.Sprintf("%s.homes[%d]", key, i)
		switch {
		case region == "":
			r.add(Error, item, "the region is empty", "no target is in it")
		case slices.Contains(homes[:i], region):
			r.add(Warning, item, fmt.Sprintf("the region %q is named twice", region), "none")
		}
	}
}

// checkHomesTogether reports organisations none of whose requests may be processed on any route.
func (r *report) checkHomesTogether(c table.Config) {
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if len(o.Homes) == 0 || len(c.Routes) == 0 {
			continue
		}
		apart := func(route table.Route) bool {
			return len(route.Homes) > 0 && !slices.ContainsFunc(route.Homes, func(region string) bool { return slices.Contains(o.Homes, region) })
		}
		if !slices.ContainsFunc(c.Routes, func(route table.Route) bool { return !apart(route) }) {
			r.add(Error, fmt.Sprintf("organisations[%d].homes", i), fmt.Sprintf("no route shares a region with organisation %q", o.Name), "all of its requests are refused")
		}
	}
}
