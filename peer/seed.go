package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// seedEvery is the number of rounds between contacts with a seed, so that
// parts of the fleet which know nothing of each other meet.
const seedEvery = 8

// Seeder returns the controller that meets other hosts by the addresses of
// the settings: at every heartbeat while no other host is known, and now and
// then afterwards.
func (r *Router) Seeder() blackboard.Controller {
	round := 0
	return blackboard.Every(config.Millis(r.board.Settings.HeartbeatMillis), func(ctx context.Context) {
		seeds := r.seedList()
		round++
		if len(seeds) == 0 || r.met() && round%seedEvery != 0 {
			return
		}
		if a := seeds[rand.IntN(len(seeds))]; a != r.board.Settings.Peers {
			r.exchangeWith(ctx, blackboard.Host{Peers: a, Region: r.board.Settings.Region})
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

// met reports whether another live host is known.
func (r *Router) met() (met bool) {
	r.board.Hosts.Each(time.Now(), func(h *blackboard.Host, live bool) {
		met = met || live && h.Number != r.board.Number && h.Incarnation != 0
	})
	return met
}

// Seed exchanges with all peers known by address only, at once: any of them may
// be silent. It is for a host that starts.
func (r *Router) Seed(ctx context.Context, addrs []string) {
	var wg sync.WaitGroup
	for _, a := range addrs {
		if a != r.board.Settings.Peers {
			wg.Go(func() { r.exchangeWith(ctx, blackboard.Host{Peers: a, Region: r.board.Settings.Region}) })
		}
	}
	wg.Wait()
}
