package edge

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/core/escrow"
)

// configIndex is an index of the active configuration.
type configIndex struct {
	// version is the version of the configuration; zero before the first one.
	version int64

	configuration waxwingwall.Configuration

	// routes are grouped by host, the longest prefix first.
	routes map[string][]*waxwingwall.Route

	services map[waxwingwall.Model]*waxwingwall.Service
	accounts map[string]*waxwingwall.ClientAccount
}

// newConfigIndex returns the index of a configuration.
func newConfigIndex(c waxwingwall.Configuration) configIndex {
	index := configIndex{
		version:       c.Version,
		configuration: c,
		routes:        map[string][]*waxwingwall.Route{},
		services:      map[waxwingwall.Model]*waxwingwall.Service{},
		accounts:      map[string]*waxwingwall.ClientAccount{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		index.routes[route.Host] = append(index.routes[route.Host], route)
	}
	for _, routes := range index.routes {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Services {
		index.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			index.accounts[key] = &c.Accounts[i]
		}
	}
	return index
}

// route returns the route of a path, or nil.
func (c *configIndex) route(host, path string) *waxwingwall.Route {
	if name, _, found := strings.Cut(host, ":"); found && c.routes[host] == nil {
		host = name
	}
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// chooseService chooses one of a route's services. All routers choose the same
// one for the same request.
func chooseService(route *waxwingwall.Route, id string) waxwingwall.Model {
	total := 0
	for _, s := range route.Services {
		total += s.Weight
	}
	if total <= 0 || len(route.Services) == 1 {
		return route.Services[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range route.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return route.Services[len(route.Services)-1].Service
}

// applyConfiguration activates a configuration if it is newer than the active
// one.
func (e *Edge) applyConfiguration(c waxwingwall.Configuration, from string) {
	if c.Version == e.config.version && from == "store" {
		e.adoptCold(c)
	}
	if c.Version <= e.config.version {
		return
	}
	before := e.config.version
	e.config = newConfigIndex(c)
	e.fundBudgets()
	e.reviewCold(coldByConfiguration)
	e.log("configuration_in_force", "",
		field("version", c.Version),
		field("before", before),
		field("from", from),
		field("routes", len(c.Routes)),
		field("accounts", len(c.Accounts)),
	)
}

// fundBudgets sets the prepaid total of each budget in the book.
func (e *Edge) fundBudgets() {
	for i := range e.config.configuration.Accounts {
		a := &e.config.configuration.Accounts[i]
		if !a.Metered {
			continue
		}
		budget := waxwingwall.Budget(a.Name)
		before := e.book.FundingOf(budget)
		e.book.SetFunding(budget, escrow.Funding{
			Version: e.config.version,
			Total:   a.Prepaid,
		})
		if before.Total != a.Prepaid {
			e.log("budget_funded", "", field("budget", budget), field("total", a.Prepaid),
				field("before", before.Total), field("version", e.config.version))
		}
	}
}
