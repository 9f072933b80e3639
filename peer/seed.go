package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// Contacts with seeds, so that parts of the fleet which know nothing of each other meet.
const (
	// seedEvery is the number of rounds between contacts of one host.
	seedEvery = 8
	// mostSeeking is how many of a host's part of the fleet meet a seed in that time,
	// however many they are. With all of 100 hosts, a seed spent 49 kB a second with
	// others, ten times the middle host.
	mostSeeking = 8
)

// seeks reports whether a host of a part of so many live hosts, itself included, meets a
// seed in a round. drawn is in [0, 1).
func seeks(round, live int, drawn float64) bool {
	if live <= 1 {
		return true
	}
	return round%seedEvery == 0 && drawn < float64(mostSeeking)/float64(live)
}

// Seeder returns the controller that meets other hosts by the addresses of
// the settings: at every heartbeat while no other host is known, and now and
// then afterwards.
func (r *Router) Seeder() blackboard.Controller {
	round := 0
	return blackboard.Every(config.Millis(r.board.Settings.HeartbeatMillis), func(ctx context.Context) {
		seeds := r.seedList()
		round++
		live := r.live()
		if len(seeds) == 0 {
			return
		}
		if !seeks(round, live, rand.Float64()) {
			r.insteadOfSeed(ctx, round)
			return
		}
		to := blackboard.Host{Peers: seeds[rand.IntN(len(seeds))]}
		if live <= 1 {
			to.Region = r.board.Settings.Region
		} // else it is told of no endpoints, which its neighbours tell it of
		if to.Peers != r.board.Settings.PeersAt() {
			r.exchangeWith(ctx, to)
		}
	})
}

func (r *Router) seedList() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seeds == nil {
		return r.board.Settings.Seeds
	}
	return r.seeds
}

// SetSeeds replaces the addresses by which other hosts are met.
func (r *Router) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = append([]string{}, seeds...)
}

// insteadOfSeed makes an exchange with a partner in a round of which others meet a seed.
// Without, digests of other failure domains get older: what all hosts send through the
// seeds is of use.
func (r *Router) insteadOfSeed(ctx context.Context, round int) {
	if round%seedEvery != 0 {
		return
	}
	if h, ok := r.partner(uint64(round/seedEvery), time.Now()); ok {
		r.exchangeWith(ctx, h)
	}
}

// live returns how many hosts are known to live, this one included.
func (r *Router) live() (n int) {
	r.board.Hosts.Each(time.Now(), func(h *blackboard.Host, live bool) {
		if live && (h.Number == r.board.Number || h.Incarnation != 0) {
			n++
		}
	})
	return n
}

// Seed exchanges with all peers known by address only, at once: any of them may
// be silent. It is for a host that starts.
func (r *Router) Seed(ctx context.Context, addrs []string) {
	var wg sync.WaitGroup
	for _, a := range addrs {
		if a != r.board.Settings.PeersAt() {
			wg.Go(func() { r.exchangeWith(ctx, blackboard.Host{Peers: a, Region: r.board.Settings.Region}) })
		}
	}
	wg.Wait()
}
