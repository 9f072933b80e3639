package peer

import (
	"encoding/binary"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/route"
)

// What regions know of each other goes with the exchanges: hosts of other regions are told
// of the own one, hosts of the own one of the others. A summary takes some 14 B, and there
// is one for each pool of a region, so that three regions with two pools tell 28 B or 56 B
// in an exchange. Where there is one region nothing is told.

// summaries returns the packed summaries for another host.
func (r *Router) summaries(now time.Time, to string) []byte {
	v := r.board.Config.View()
	if v == nil || len(v.RegionNames) < 2 {
		return nil
	}
	if to == r.board.Settings.Region {
		return packSummaries(r.board.Regions.Told(now))
	}
	return packSummaries(r.ownSummaries(now))
}

// ownSummaries returns those of the own region, as this host sees it.
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

// learnSummaries takes in what another host told of regions. What is told of the own one is
// of no use here.
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

// noteTrip notes how long an exchange with a host of another region took.
func (r *Router) noteTrip(h blackboard.Host, took time.Duration) {
	if h.Region != "" && h.Region != r.board.Settings.Region {
		r.board.Regions.Took(config.NameNumber(h.Region), took)
	}
}

func packSummaries(rows []region.Summary) []byte {
	var out []byte
	for _, s := range rows {
		out = binary.LittleEndian.AppendUint32(out, s.Region)
		out = binary.LittleEndian.AppendUint32(out, s.Pool)
		for _, f := range [...]uint32{s.Places, s.WaitMillis / packMillis, s.AgeMillis / packMillis} {
			out = binary.AppendUvarint(out, uint64(f))
		}
	}
	return out
}

// mostMillis bounds times that are told, so that a damaged one doesn't overflow: an hour.
const mostMillis = 3600_000

// unpackSummaries reads what packSummaries wrote.
func unpackSummaries(src []byte) ([]region.Summary, error) {
	r := &reader{src: src}
	var out []region.Summary
	for len(r.src) > 0 {
		s := region.Summary{Region: r.uint32(), Pool: r.uint32()}
		s.Places = uint32(min(r.uvarint(), mostMillis))
		s.WaitMillis = uint32(min(r.uvarint(), mostMillis) * packMillis)
		s.AgeMillis = uint32(min(r.uvarint(), mostMillis) * packMillis)
		if r.bad {
			return out, errPacked
		}
		out = append(out, s)
	}
	return out, nil
}
