package peer

import (
	"encoding/binary"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/route"
)

// Exchanges carry what regions know of each other: hosts of other regions get the summary of the
// own region, and hosts of the own region those of the others. A summary takes about 14 B and
// there is one per pool of a region, so with three regions of two pools an exchange carries 28 B
// or 56 B. With a single region nothing is sent.

// summaries returns the packed summaries for a host of the given region.
func (r *Router) summaries(now time.Time, to string) []byte {
	v := r.board.Config.View()
	if v == nil || len(v.RegionNames) < 2 {
		return nil
	}
	if to == r.board.Settings.Region {
		return packSummaries(r.board.Regions.Summaries(now))
	}
	return packSummaries(r.ownSummaries(now))
}

// ownSummaries returns the summaries of the own region, as this host sees it.
func (r *Router) ownSummaries(now time.Time) (out []region.Summary) {
	name := r.board.Settings.Region
	r.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if v != nil {
			out = region.Summarize(fleet.All(), v.RegionSet(name), config.NameNumber(name), now)
		}
	})
	return out
}

// learnSummaries merges region summaries from another host. It ignores those of the own region,
// which each host computes itself.
func (r *Router) learnSummaries(src []byte, now time.Time) error {
	rows, err := unpackSummaries(src)
	own := config.NameNumber(r.board.Settings.Region)
	for _, s := range rows {
		if s.Region != own {
			r.board.Regions.Learn(s, now)
		}
	}
	return err
}

// noteRoundTrip records how long an exchange with a host of another region took.
func (r *Router) noteRoundTrip(h blackboard.Host, took time.Duration) {
	if h.Region != "" && h.Region != r.board.Settings.Region {
		r.board.Regions.RecordRoundTrip(config.NameNumber(h.Region), took)
	}
}

func packSummaries(rows []region.Summary) []byte {
	var out []byte
	for _, s := range rows {
		out = binary.LittleEndian.AppendUint32(out, s.Region)
		out = binary.LittleEndian.AppendUint32(out, s.Pool)
		for _, f := range [...]uint32{s.Capacity, s.WaitMillis / packMillis, s.AgeMillis / packMillis} {
			out = binary.AppendUvarint(out, uint64(f))
		}
	}
	return out
}

// maxMillis bounds received values to an hour, so that damaged ones don't overflow.
const maxMillis = 3600_000

// unpackSummaries parses the output of packSummaries.
func unpackSummaries(src []byte) ([]region.Summary, error) {
	r := &reader{src: src}
	var out []region.Summary
	for len(r.src) > 0 {
		s := region.Summary{Region: r.uint32(), Pool: r.uint32()}
		s.Capacity = uint32(min(r.uvarint(), maxMillis))
		s.WaitMillis = uint32(min(r.uvarint(), maxMillis) * packMillis)
		s.AgeMillis = uint32(min(r.uvarint(), maxMillis) * packMillis)
		if r.bad {
			return out, errDamaged
		}
		out = append(out, s)
	}
	return out, nil
}
