package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// Contacts with seeds, by which parts of the fleet that don't know each other meet.
const (
	// seedRounds is the number of rounds between two seed contacts.
	seedRounds = 8
	// maxSeedContacts is how many of the hosts that know each other contact a seed in that time,
	// however many there are. When all of 100 hosts did, a seed used 49 kB/s for others, ten
	// times as much as the median host.
	maxSeedContacts = 8
)

// contactsSeed reports whether a host contacts a seed in a round. live is the number of live
// hosts it knows, itself included, and random is in [0, 1).
func contactsSeed(round, live int, random float64) bool {
	if live <= 1 {
		return true
	}
	return round%seedRounds == 0 && random < float64(maxSeedContacts)/float64(live)
}

// Seeder returns the controller that contacts hosts by the addresses of the settings: at every
// heartbeat while no other host is known, and from time to time afterwards.
func (r *Router) Seeder() blackboard.Controller {
	round := 0
	return blackboard.Every(config.Millis(r.board.Settings.HeartbeatMillis), func(ctx context.Context) {
		seeds := r.seedList()
		round++
		live := r.liveHosts()
		if len(seeds) == 0 {
			return
		}
		if !contactsSeed(round, live, rand.Float64()) {
			r.exchangeInsteadOfSeed(ctx, round)
			return
		}
		to := blackboard.Host{Peers: seeds[rand.IntN(len(seeds))]}
		if live <= 1 {
			to.Region = r.board.Settings.Region
		} // otherwise the seed is sent no endpoint digests; its neighbours send those
		if to.Peers != r.board.Settings.PeersAddress() {
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

// SetSeeds replaces the addresses of the seeds.
func (r *Router) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = append([]string{}, seeds...)
}

// exchangeInsteadOfSeed exchanges with a partner in a round in which other hosts contact a seed.
// Otherwise the digests of other failure domains would get older, since part of them travel with
// the exchanges with seeds.
func (r *Router) exchangeInsteadOfSeed(ctx context.Context, round int) {
	if round%seedRounds != 0 {
		return
	}
	if h, ok := r.partner(uint64(round/seedRounds), time.Now()); ok {
		r.exchangeWith(ctx, h)
	}
}

// liveHosts returns the number of live hosts, this one included.
func (r *Router) liveHosts() (n int) {
	r.board.Hosts.Each(time.Now(), func(h *blackboard.Host, live bool) {
		if live && (h.Number == r.board.Number || h.Incarnation != 0) {
			n++
		}
	})
	return n
}

// ContactSeeds exchanges with all of the given addresses concurrently, since any of them may not respond.
// It is used by a host that starts.
func (r *Router) ContactSeeds(ctx context.Context, addrs []string) {
	var wg sync.WaitGroup
	for _, a := range addrs {
		if a != r.board.Settings.PeersAddress() {
			wg.Go(func() { r.exchangeWith(ctx, blackboard.Host{Peers: a, Region: r.board.Settings.Region}) })
		}
	}
	wg.Wait()
}
