package route

// headIndex maps the first block of a prompt to the endpoints that have cached prompts beginning
// with it, so that a choice finds them among thousands.
type headIndex map[uint32][]uint32

// maxPerHead bounds how many endpoints are indexed per block.
const maxPerHead = 16

// lookup returns the endpoints that have cached the first block of a request's prompt.
func (h headIndex) lookup(r *Request) []uint32 {
	if !r.HasHead {
		return nil
	}
	return h[r.Head]
}

// update replaces the cached prompts of an endpoint.
func (h headIndex) update(number uint32, before, now []HeadDigest) {
	for _, d := range before {
		h.remove(d.Head, number)
	}
	for _, d := range now {
		if numbers := h[d.Head]; len(numbers) < maxPerHead {
			h[d.Head] = append(numbers, number)
		}
	}
}

func (h headIndex) remove(head, number uint32) {
	numbers := h[head]
	for i := range numbers {
		if numbers[i] != number {
			continue
		}
		if len(numbers) == 1 {
			delete(h, head)
			return
		}
		numbers[i] = numbers[len(numbers)-1]
		h[head] = numbers[:len(numbers)-1]
		return
	}
}
