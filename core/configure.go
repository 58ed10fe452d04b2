package core

import (
	"slices"
	"time"

	"waxwingwall/core/config"
	"waxwingwall/core/sched"
)

// configure applies a new configuration.
func (n *Node) configure(now time.Time, d config.Document) {
	n.document = d
	n.pruneLeaving()
	n.Scheduler.SetRanks(rankSpecs(d))
	n.Scheduler.SetEndpoints(now, n.endpointSpecs())
	n.Scheduler.SetAccounts(accountSpecs(d))
	n.actions = append(n.actions, Configured{
		Document: d,
	})
}

func rankSpecs(d config.Document) []sched.RankSpec {
	var specs []sched.RankSpec
	for _, r := range d.Ranks {
		specs = append(specs, sched.RankSpec{
			Name:          r.Name,
			Level:         r.Level,
			FirstToken:    r.FirstToken,
			BetweenTokens: r.BetweenTokens,
			Floor:         r.Floor,
			Worth:         r.Worth,
		})
	}
	return specs
}

func (n *Node) endpointSpecs() []sched.EndpointSpec {
	var specs []sched.EndpointSpec
	for _, e := range n.document.Endpoints {
		specs = append(specs, sched.EndpointSpec{
			Name:        e.Name,
			Domain:      e.Domain,
			Models:      e.Models,
			Service:     e.Kind == config.ServiceKind,
			Concurrency: e.Concurrency,
			TokenRate:   e.TokenRate,
			Version:     e.Version,
			Leaving:     e.Leaving || n.document.Limits.Evacuated(e.Domain) || slices.Contains(n.leaving.endpoints, e.Name),
		})
	}
	return specs
}

func accountSpecs(d config.Document) []sched.AccountSpec {
	var specs []sched.AccountSpec
	for _, a := range d.Accounts {
		specs = append(specs, sched.AccountSpec{
			Name:   a.Name,
			Weight: a.Weight,
		})
	}
	return specs
}
