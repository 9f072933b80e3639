package route

// heads knows which endpoints have cached prompts that begin with a block, so that a choice
// finds them among thousands.
type heads map[uint32][]uint32

// mostOfHead bounds how many endpoints are known of one block.
const mostOfHead = 16

// of returns the endpoints that have cached the block that a request's prompt begins with.
func (h heads) of(r *Request) []uint32 {
	if !r.HasHead {
		return nil
	}
	return h[r.Head]
}

// change takes in that an endpoint has cached other prompts than before.
func (h heads) change(number uint32, before, now []HeadDigest) {
	for _, d := range before {
		h.remove(d.Head, number)
	}
	for _, d := range now {
		if of := h[d.Head]; len(of) < mostOfHead {
			h[d.Head] = append(of, number)
		}
	}
}

func (h heads) remove(head, number uint32) {
	of := h[head]
	for i := range of {
		if of[i] != number {
			continue
		}
		if len(of) == 1 {
			delete(h, head)
			return
		}
		of[i] = of[len(of)-1]
		h[head] = of[:len(of)-1]
		return
	}
}
