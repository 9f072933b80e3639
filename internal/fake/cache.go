package fake

import (
	"container/list"
	"sync"

	"github.com/embercove/embercove/endpoint"
)

// prefixCache is an engine's LRU cache of prompt blocks, with the feed of cache
// events that the engine publishes.
type prefixCache struct {
	mu     sync.Mutex
	limit  int // in blocks
	lru    *list.List
	blocks map[uint64]*list.Element

	first        uint64 // sequence number of events[0]
	events       []endpoint.CacheEvent
	cachedTokens map[uint32]int // by head
	headByBlock  map[uint64]uint32
}

// maxEvents is how many events the feed keeps. Readers see older ones as a gap.
const maxEvents = 512

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), blocks: map[uint64]*list.Element{},
		cachedTokens: map[uint32]int{}, headByBlock: map[uint64]uint32{}}
}

// cached returns how many tokens at the beginning of the prompt are in the cache.
func (c *prefixCache) cached(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, b := range endpoint.Blocks(prompt) {
		el, ok := c.blocks[b]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		n += endpoint.BlockTokens
	}
	return n
}

// store adds the prompt's blocks and publishes how much is cached for its head
// and which heads were evicted. With drop set each event pushes the oldest one
// out of the feed; readers that haven't read that one see a gap.
func (c *prefixCache) store(prompt string, drop bool) {
	head, ok := endpoint.Head(prompt)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := endpoint.Blocks(prompt)
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
	}
	c.headByBlock[blocks[0]] = head
	c.cachedTokens[head] = len(blocks) * endpoint.BlockTokens
	c.publish(endpoint.CacheEvent{Head: head, Tokens: c.cachedTokens[head]}, drop)
	for c.lru.Len() > c.limit {
		evicted := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, evicted)
		if evictedHead, ok := c.headByBlock[evicted]; ok {
			delete(c.headByBlock, evicted)
			delete(c.cachedTokens, evictedHead)
			c.publish(endpoint.CacheEvent{Head: evictedHead}, drop)
		}
	}
}

func (c *prefixCache) publish(e endpoint.CacheEvent, drop bool) {
	c.events = append(c.events, e)
	if drop || len(c.events) > maxEvents {
		c.events = c.events[1:]
		c.first++
	}
}

func (c *prefixCache) eventsAfter(seq uint64) endpoint.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.first + uint64(len(c.events))
	from := min(max(seq, c.first), next)
	return endpoint.CacheEvents{First: from, Next: next,
		Events: append([]endpoint.CacheEvent(nil), c.events[from-c.first:]...)}
}
