package fake

import (
	"container/list"
	"sync"

	"github.com/embercove/embercove/endpoint"
)

// prefixCache is an engine's LRU cache of prompt blocks and the feed of
// events about it.
type prefixCache struct {
	mu     sync.Mutex
	limit  int // blocks
	order  *list.List
	blocks map[uint64]*list.Element

	first  uint64 // sequence number of events[0]
	events []endpoint.CacheEvent
	depth  map[uint32]int // tokens cached for each head
	heads  map[uint64]uint32
}

// maxEvents is how much of the feed is kept; older events are a gap.
const maxEvents = 512

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{},
		depth: map[uint32]int{}, heads: map[uint64]uint32{}}
}

// cached returns how many tokens of the prompt are in the cache.
func (c *prefixCache) cached(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, b := range endpoint.Blocks(prompt) {
		el, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n += endpoint.BlockTokens
	}
	return n
}

// store adds the prompt's blocks and publishes what became of its head.
// With lose set the event is dropped, which readers see as a gap.
func (c *prefixCache) store(prompt string, lose bool) {
	head, ok := endpoint.Head(prompt)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := endpoint.Blocks(prompt)
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
	}
	c.heads[blocks[0]] = head
	c.depth[head] = len(blocks) * endpoint.BlockTokens
	c.publish(endpoint.CacheEvent{Head: head, Tokens: c.depth[head]}, lose)
	for c.order.Len() > c.limit {
		old := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, old)
		if h, ok := c.heads[old]; ok {
			delete(c.heads, old)
			delete(c.depth, h)
			c.publish(endpoint.CacheEvent{Head: h}, lose)
		}
	}
}

func (c *prefixCache) publish(e endpoint.CacheEvent, lose bool) {
	c.events = append(c.events, e)
	if lose || len(c.events) > maxEvents {
		c.events = c.events[1:]
		c.first++
	}
}

func (c *prefixCache) after(seq uint64) endpoint.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.first + uint64(len(c.events))
	from := min(max(seq, c.first), next)
	return endpoint.CacheEvents{First: from, Next: next,
		Events: append([]endpoint.CacheEvent(nil), c.events[from-c.first:]...)}
}
