package escrow

import (
	"testing"
	"time"

	"waxwingwall"
)

// TestOutageInLargeFleet covers a large fleet in which a few nodes get most requests and
// many others a few, as the table goes away for as long as it does on the worst days. The
// busy nodes find the tokens that the others hold: requests are granted while enough is
// held, and the nodes do not flood each other with messages.
func TestOutageInLargeFleet(t *testing.T) {
	const (
		paid  = 100_000_000
		size  = 10_000
		busy  = 18
		some  = 120
		nodes = 295

		outage = 8 * time.Second

		// Of what is held, or asked for if that is less, this part is to be served.
		wantPercent = 80

		// maxMessages is the number of messages for each request in the outage.
		maxMessages = 40
	)
	w := newEvenWorld(1, nodes, paid)
	w.run(time.Second)
	// Requests arrive whether or not others wait.
	var waiting []*waiter
	spend := func(d time.Duration) (asked, granted int) {
		for start := w.now; w.now.Sub(start) < d; w.run(20 * time.Millisecond) {
			for range 4 {
				n := w.nodes[w.random.IntN(busy)]
				if w.chance(10) {
					n = w.nodes[busy+w.random.IntN(some)]
				}
				asked++
				waiting = append(waiting, &waiter{
					node:   n,
					before: n.resolved[shop] - 1,
				})
			}
			open := waiting
			waiting = nil
			for _, r := range open {
				if r.node.resolved[shop] == r.before {
					waiting = append(waiting, r)
					continue
				}
				r.before = r.node.resolved[shop]
				switch r.node.request(shop, size) {
				case Waiting:
					waiting = append(waiting, r)
				case Granted:
					granted++
					r.node.finish(len(r.node.running)-1, size)
				}
			}
		}
		return asked, granted
	}
	spend(12 * time.Second)
	held := w.held()
	w.tableDown = true
	before := w.messages
	asked, granted := spend(outage)
	messages := (w.messages - before) / asked
	expected := min(held, waxwingwall.Tokens(asked)*size)
	t.Logf("%d of %d requests granted, %d of %d left held, %d messages a request", granted, asked, held, paid-w.spent(shop), messages)
	if served := waxwingwall.Tokens(granted) * size; served < expected*wantPercent/100 {
		t.Errorf("%d tokens were served with %d held and %d asked for", served, held, asked*size)
	}
	if messages > maxMessages {
		t.Errorf("%d messages for each request", messages)
	}
}
