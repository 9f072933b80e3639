package config

import (
	"fmt"
	"math/bits"
	"slices"
	"strconv"
)

// Regions is a set of regions by their place in View.RegionNames, so that a decision
// among hundreds of endpoints compares no names.
type Regions uint64

// mostRegions is how many regions a document may name; one bit more stands for none.
const mostRegions = 63

// noRegion is a set that no region is in, and that is not empty: an empty set of homes
// binds nothing.
const noRegion Regions = 1 << mostRegions

// Has reports whether any region of the other set is in the set.
func (s Regions) Has(other Regions) bool { return s&other != 0 }

// Len returns how many regions are in the set.
func (s Regions) Len() int { return bits.OnesCount64(uint64(s &^ noRegion)) }

// indexRegions lists the regions in the order in which failure domains name them.
func (v *View) indexRegions() {
	v.RegionNames = nil
	for _, d := range v.Doc.Domains {
		if !slices.Contains(v.RegionNames, d.Region) {
			v.RegionNames = append(v.RegionNames, d.Region)
		}
	}
}

// countRegions returns how many regions failure domains lie in.
func countRegions(rows []Domain) int {
	seen := map[string]bool{}
	for _, d := range rows {
		seen[d.Region] = true
	}
	return len(seen)
}

// RegionSet returns the set of the regions of these names. Names that no failure domain
// has are left out.
func (v *View) RegionSet(names ...string) (s Regions) {
	for i, r := range v.RegionNames {
		if i < mostRegions && slices.Contains(names, r) {
			s |= 1 << i
		}
	}
	return s
}

// Homes returns the regions in which a team's requests of a route may be served, cached
// and stored; 0: in any. Where both name some, both bind.
func (v *View) Homes(r *Route, t *Team) Regions {
	var homes Regions
	for _, names := range [][]string{r.Regions, t.Regions} {
		if len(names) == 0 {
			continue
		}
		set := v.RegionSet(names...)
		if homes != 0 {
			set &= homes
		}
		if homes = set; homes == 0 {
			return noRegion
		}
	}
	return homes
}

// regions checks the names of regions that bind a route or a team.
func (c *checker) regions(field string, names []string, known []Domain) {
	seen := map[string]bool{}
	for i, name := range names {
		f := index(field, i)
		c.unique(seen, f, name)
		if slices.ContainsFunc(known, func(d Domain) bool { return d.Region == name }) {
			continue
		}
		c.fail(f, strconv.Quote(name), "is no region of failure_domains"+suggestRegion(name, known))
	}
}

// suggestRegion returns a hint at the region that a mistyped name is near to.
func suggestRegion(name string, known []Domain) string {
	var names []string
	for _, d := range known {
		names = append(names, d.Region)
	}
	near := nearest(name, names)
	if near == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", near)
}
