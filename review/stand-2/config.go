package main

import (
	"fmt"
	"net/http"
	"time"
)

// The case model-name: the operator moves a route to another service, adds a route, and lists one more
// model, whose name has a slash.

const (
	// configApply is the users' bound from the acknowledgement of a version until it is in force.
	configApply = 2 * time.Second
	// rounds is how often each host is asked after that, roundGap apart.
	rounds   = 10
	roundGap = 500 * time.Millisecond
	// slashedModel is a name as model hubs give them, and plainModel the same without its organisation.
	slashedModel = "open-weights/answer-120b"
	plainModel   = "answer-120b"
)

// putMove writes a version of the configuration. The second one moves the route of pages to another
// service, adds a route, and lists a further model.
func (f *fleet) putMove(version int, model string) {
	route := pageRoute()
	routes := []any{route}
	models := []any{map[string]any{"name": "m"}}
	if version > 1 {
		route["service"] = "web-2"
		added := pageRoute()
		added["name"], added["pathPrefix"] = "added", "/added/"
		routes = append(routes, added)
		models = append(models, map[string]any{"name": model})
	}
	second := pageService()
	second["name"] = "web-2"
	f.store.put("op/config", map[string]any{"version": version, "routes": routes,
		"services": []any{pageService(), second, map[string]any{"name": "llm", "connectionLimit": 360, "healthPath": "/health",
			"inferenceEngine": map[string]any{"slots": 64, "kvCapacityTokens": capacityTokens, "kvTokenBytes": 18432, "linkBandwidthMbps": 700000, "kvRetentionS": 0.5,
				"roleSwitchS": 6, "models": models}}}, "limits": limits})
}

func playModelName(p *play) (broken bool, err error) {
	first, err := p.addPageRunners(50 * time.Millisecond)
	if err != nil {
		return false, err
	}
	second := &pageRunner{id: "i-web-2-0", record: p.record, work: 50 * time.Millisecond, runs: map[string]string{}}
	address, err := p.fleet.serve(second)
	if err != nil {
		return false, err
	}
	p.fleet.registerAs("web-2", second.id, address, zoneNames[0])
	p.fleet.putMove(1, "")
	if err := p.start(); err != nil {
		return false, err
	}
	model := plainModel
	if p.trouble {
		model = slashedModel
	}
	p.fleet.putMove(2, model)
	p.record.logf("the store acknowledges version 2, which moves /page/ to web-2, adds /added/ and lists the model %q", model)
	time.Sleep(configApply + 100*time.Millisecond)
	old, denied, asked := 0, 0, 0
	for round := range rounds {
		for _, h := range p.fleet.hosts {
			asked += 2
			attempt := fmt.Sprintf("page-%s-%d", h.name, round)
			status, _, _, err := p.post(h.address(portCallers), "/page/1", attempt)
			for _, r := range first {
				if r.runOf(attempt) != "" {
					old++
					p.record.logf("CONFIG: request %s to %s is run by %s of the old service: status %d, %v", attempt, h.name, r.id, status, err)
				}
			}
			status, _, _, err = p.post(h.address(portCallers), "/added/1", "added-"+attempt)
			if status == http.StatusNotFound {
				denied++
				p.record.logf("CONFIG: request added-%s to %s gets 404 though its route is there: %v", attempt, h.name, err)
			}
		}
		time.Sleep(roundGap)
	}
	for _, line := range p.fleet.hosts[0].logLines("level\":\"error") {
		p.record.logf("log of %s: %.400s", p.fleet.hosts[0].name, line)
	}
	p.record.logf("of %d requests sent later than %v after the acknowledgement, the old service ran %d and 404 refused %d", asked, configApply, old, denied)
	return old+denied > 0, nil
}
