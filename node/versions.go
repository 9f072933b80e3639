package node

import (
	"cmp"
	"slices"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// VersionStatus counts the endpoints of a pool that run one version of their software.
type VersionStatus struct {
	Pool      string      `json:"pool"`
	Role      config.Role `json:"role"`
	Software  string      `json:"software"` // "unknown": their registrations state none
	Endpoints int         `json:"endpoints"`
	Leaving   int         `json:"leaving"` // of them
}

// versionStatus counts the endpoints of each pool by the version of their software.
func versionStatus(fleet *route.Fleet) (out []VersionStatus) {
	for st := range fleet.All() {
		if st.Spec.Software == "" {
			continue
		}
		row := VersionStatus{Pool: st.Spec.Pool, Role: st.Role, Software: st.Spec.SoftwareName()}
		i := slices.IndexFunc(out, func(o VersionStatus) bool {
			return o.Pool == row.Pool && o.Role == row.Role && o.Software == row.Software
		})
		if i < 0 {
			i, out = len(out), append(out, row)
		}
		out[i].Endpoints++
		if st.IsLeaving() {
			out[i].Leaving++
		}
	}
	slices.SortFunc(out, func(a, b VersionStatus) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Software, b.Software))
	})
	return out
}
