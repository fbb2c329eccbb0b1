package zones

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Regions maps each availability zone to its region.
type Regions map[string]string

// ParseRegions parses a list of zone=region pairs that are separated by commas.
func ParseRegions(list string) (Regions, error) {
	regions := Regions{}
	for pair := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(pair) == "" {
			continue
		}
		zone, region, ok := strings.Cut(pair, "=")
		zone, region = strings.TrimSpace(zone), strings.TrimSpace(region)
		if !ok || zone == "" || region == "" {
			return nil, fmt.Errorf("%q is not a pair zone=region", pair)
		}
		regions[zone] = region
	}
	return regions, nil
}

// Homes are the regions in which a request may be processed. Each list that is not empty binds.
type Homes [][]string

// NewHomes returns the homes that lists of regions state, of a route and of an organisation; nil if none states any.
func NewHomes(lists ...[]string) Homes {
	var h Homes
	for _, list := range lists {
		if len(list) > 0 {
			h = append(h, list)
		}
	}
	return h
}

// Allow reports whether a request with the homes may be processed in a region. A region that is not known is allowed only without homes.
func (h Homes) Allow(region string) bool {
	for _, list := range h {
		if !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// AllowAll reports whether a request with the homes may be processed in each region of the platform.
func (h Homes) AllowAll(regions Regions) bool {
	if len(h) == 0 {
		return true
	}
	for region := range maps.Values(regions) {
		if !h.Allow(region) {
			return false
		}
	}
	return len(regions) > 0
}
