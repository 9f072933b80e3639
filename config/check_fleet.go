package config

import (
	"fmt"
	"slices"
	"strconv"
)

func (c *checker) domains(rows []Domain) map[string]bool {
	seen := map[string]bool{}
	for i := range rows {
		r := &rows[i]
		f := index("failure_domains", i)
		c.text(f+".name", r.Name)
		c.text(f+".region", r.Region)
		c.unique(seen, f+".name", r.Name)
		within(c, f+".link_bytes_per_second", &r.LinkBytesPerSecond, 0, 1e15)
	}
	if len(rows) == 0 {
		c.fail("failure_domains", "", "want at least one")
	}
	if n := countRegions(rows); n > maxRegions {
		c.fail("failure_domains", "", fmt.Sprintf("%d regions, want at most %d", n, maxRegions))
	}
	return seen
}

func (c *checker) models(rows []Model) map[string]Model {
	byName := map[string]Model{}
	seen := map[string]bool{}
	for i := range rows {
		r := &rows[i]
		f := index("models", i)
		c.text(f+".name", r.Name)
		c.text(f+".version", r.Version)
		c.unique(seen, f+".name", r.Name)
		within(c, f+".max_tokens", &r.MaxTokens, 1, 10_000_000)
		within(c, f+".kv_bytes_per_token", &r.KVBytesPerToken, 1, 1e9)
		for j, a := range r.Adapters {
			c.text(index(f+".adapters", j), a)
			c.unique(seen, index(f+".adapters", j), a)
		}
		byName[r.Name] = *r
	}
	return byName
}

func (c *checker) endpoints(rows []Endpoint, domains map[string]bool, models map[string]Model) {
	names, addrs := map[string]bool{}, map[string]bool{}
	for i := range rows {
		r := &rows[i]
		f := index("endpoints", i)
		c.text(f+".name", r.Name)
		c.unique(names, f+".name", r.Name)
		c.address(f+".address", r.Address)
		c.unique(addrs, f+".address", r.Address)
		if !domains[r.Domain] {
			c.fail(f+".failure_domain", strconv.Quote(r.Domain), "is not among failure_domains")
		}
		c.oneOf(f+".role", string(r.Role), string(Prefill), string(Decode), string(Service))
		c.endpointSizes(f, r)
		if r.Role == Service {
			continue
		}
		m, ok := models[r.Model]
		if !ok {
			c.fail(f+".model", strconv.Quote(r.Model), "is not among models")
		}
		for j, a := range r.Adapters {
			if !slices.Contains(m.Adapters, a) {
				c.fail(index(f+".adapters", j), strconv.Quote(a), "is not an adapter of the model")
			}
		}
	}
}

func (c *checker) endpointSizes(f string, r *Endpoint) {
	switch r.Role {
	case Prefill:
		within(c, f+".tokens_per_second", &r.TokensPerSecond, 1, 1e9)
		within(c, f+".result_keep_ms", &r.ResultKeepMillis, 1, 600_000)
	case Decode:
		within(c, f+".memory_tokens", &r.MemoryTokens, 1, 1e9)
		within(c, f+".slots", &r.Slots, 1, 1e6)
		within(c, f+".step_micros", &r.StepMicros, 1, 1e8)
		within(c, f+".step_micros_each", &r.StepMicrosEach, 0, 1e8)
		within(c, f+".link_bytes_per_second", &r.LinkBytesPerSecond, 1, 1e15)
	case Service:
		within(c, f+".slots", &r.Slots, 1, 1e6)
	}
	within(c, f+".cold_per_s", &r.ColdPerSecond, 0, 1e6)
	within(c, f+".cold_start_ms", &r.ColdStartMillis, 0, 3_600_000)
}

func (c *checker) pools(rows []Pool) map[string]bool {
	seen := map[string]bool{}
	for i := range rows {
		r := &rows[i]
		f := index("pools", i)
		c.text(f+".name", r.Name)
		c.unique(seen, f+".name", r.Name)
		within(c, f+".memory_tokens", &r.MemoryTokens, 0, 1e9)
		within(c, f+".slots", &r.Slots, 0, 1e6)
		within(c, f+".result_keep_ms", &r.ResultKeepMillis, 1, 600_000)
		within(c, f+".tokens_per_piece", &r.TokensPerPiece, 1, 1e6)
		within(c, f+".role_switch_ms", &r.RoleSwitchMillis, 0, 3_600_000)
		within(c, f+".connections", &r.Connections, 0, 1e6)
		within(c, f+".tokens_per_second", &r.TokensPerSecond, 1, 1e9)
		within(c, f+".step_micros", &r.StepMicros, 1, 1e8)
		within(c, f+".step_micros_each", &r.StepMicrosEach, 0, 1e8)
		within(c, f+".cold_per_s", &r.ColdPerSecond, 0, 1e6)
		within(c, f+".cold_start_ms", &r.ColdStartMillis, 0, 3_600_000)
		if r.HasEngines() {
			within(c, f+".link_bytes_per_second", &r.LinkBytesPerSecond, 1, 1e15)
		}
	}
	return seen
}
