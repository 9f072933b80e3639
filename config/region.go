package config

import (
	"fmt"
	"math/bits"
	"slices"
	"strconv"
)

// Regions is a set of regions, as bits by index in View.RegionNames, so that a decision among
// hundreds of endpoints compares no names.
type Regions uint64

// maxRegions is the maximum number of regions of a document; the remaining bit is noRegion.
const maxRegions = 63

// noRegion is a set without any region that differs from the empty set, because an empty set of
// allowed regions means no restriction.
const noRegion Regions = 1 << maxRegions

// Has reports whether the sets have a region in common.
func (s Regions) Has(other Regions) bool { return s&other != 0 }

// Len returns the number of regions in the set.
func (s Regions) Len() int { return bits.OnesCount64(uint64(s &^ noRegion)) }

// indexRegions collects the regions in the order in which failure domains name them.
func (v *View) indexRegions() {
	v.RegionNames = nil
	for _, d := range v.Doc.Domains {
		if !slices.Contains(v.RegionNames, d.Region) {
			v.RegionNames = append(v.RegionNames, d.Region)
		}
	}
}

// countRegions returns the number of regions of the failure domains.
func countRegions(rows []Domain) int {
	seen := map[string]bool{}
	for _, d := range rows {
		seen[d.Region] = true
	}
	return len(seen)
}

// RegionSet returns the set of the named regions. Names that no failure domain uses are ignored.
func (v *View) RegionSet(names ...string) (s Regions) {
	for i, r := range v.RegionNames {
		if i < maxRegions && slices.Contains(names, r) {
			s |= 1 << i
		}
	}
	return s
}

// AllowedRegions returns the regions in which a team's requests on a route may be served, cached and
// stored; 0: any. If both the route and the team name regions, only those named by both are
// allowed.
func (v *View) AllowedRegions(r *Route, t *Team) Regions {
	var allowed Regions
	for _, names := range [][]string{r.Regions, t.Regions} {
		if len(names) == 0 {
			continue
		}
		set := v.RegionSet(names...)
		if allowed != 0 {
			set &= allowed
		}
		if allowed = set; allowed == 0 {
			return noRegion
		}
	}
	return allowed
}

// regions checks the region names of a route or a team.
func (c *checker) regions(field string, list *[]string, known []Domain) {
	c.dropUnknownRegions(field, list, known)
	seen := map[string]bool{}
	for i, name := range *list {
		f := index(field, i)
		c.unique(seen, f, name)
		if isRegion(name, known) {
			continue
		}
		c.fail(f, strconv.Quote(name), "is no region of failure_domains"+suggestRegion(name, known))
	}
}

// isRegion reports whether a failure domain is in the named region.
func isRegion(name string, known []Domain) bool {
	return slices.ContainsFunc(known, func(d Domain) bool { return d.Region == name })
}

// dropUnknownRegions leaves out the unknown regions of a row that is fitted, and those that repeat. If none is left, all stay, as
// no region would mean any.
func (c *checker) dropUnknownRegions(field string, list *[]string, known []Domain) {
	var kept []string
	for _, name := range *list {
		if isRegion(name, known) && !slices.Contains(kept, name) {
			kept = append(kept, name)
		}
	}
	if !c.fits || len(kept) == 0 || len(kept) == len(*list) {
		return
	}
	c.adjusted = append(c.adjusted, &FieldError{Field: field, Value: fmt.Sprint(*list), Cause: "names a region twice, or one of no failure domain"})
	*list = kept
}

// suggestRegion returns a hint at the region whose name is most similar to a mistyped one, or "".
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
