package bench

import (
	"time"

	"waxwingwall"
)

// killRouters kills one router every 8 s.
func killRouters(w *world) {
	i := 0
	w.every(8*time.Second, func() bool {
		w.killRouter(i % len(w.routers))
		i += 3
		return true
	})
}

// sendPoison sends a request that crashes its endpoint every 2 s, always with
// the same fingerprint.
func sendPoison(w *world) {
	w.after(w.scenario.WarmUp, func() {
		w.every(2*time.Second, func() bool {
			w.offerPoison()
			return true
		})
	})
}

// silenceConnections makes the connections between a random router and a random
// endpoint silent every 0.5 s.
func silenceConnections(w *world) {
	w.every(500*time.Millisecond, func() bool {
		r := w.routers[w.rng.IntN(len(w.routers))]
		w.silence(r, w.rng.IntN(len(w.engines)))
		return true
	})
}

// drainEndpoints marks a model endpoint as leaving for 8 s, the next one every
// 10 s.
func drainEndpoints(w *world) {
	i := 0
	w.every(10*time.Second, func() bool {
		e := w.engines[i%w.site.Models]
		i++
		e.spec.Leaving = true
		w.meter.recordLeaving(e)
		w.updateEndpoints()
		w.after(8*time.Second, func() {
			e.spec.Leaving = false
			w.updateEndpoints()
		})
		return true
	})
}

func (w *world) updateEndpoints() {
	for _, r := range w.routers {
		if r.live {
			r.policy.SetEndpoints(w.now, w.endpointSpecs())
		}
	}
}

// slowEndpoints makes two endpoints four times slower after the warm-up.
func slowEndpoints(w *world) {
	w.after(w.scenario.WarmUp, func() {
		w.engines[0].slowdown = 4
		w.engines[1].slowdown = 4
	})
}

// delayLoadReports delays load reports by 5 s.
func delayLoadReports(w *world) {
	w.reportDelay = 5 * time.Second
}

// partitionRouters partitions the routers into two halves that lose all
// messages between them, from half of the warm-up on.
func partitionRouters(w *world) {
	w.after(w.scenario.WarmUp/2, func() {
		w.partitioned = true
	})
}

// separated reports whether a partition drops messages between two routers.
func (w *world) separated(a, b waxwingwall.Incarnation) bool {
	firstHalf := func(i waxwingwall.Incarnation) bool {
		for k, r := range w.routers {
			if r.incarnation == i {
				return k < len(w.routers)/2
			}
		}
		return false
	}
	return w.partitioned && firstHalf(a) != firstHalf(b)
}

// rushFactor is the rate of orders in a rush, relative to the capacity of the
// plain services.
const rushFactor = 1.5

// offerOrderRush offers more orders than the plain services can run, for 20 s.
func offerOrderRush(w *world) {
	rate := rushFactor * float64(w.site.Services*serviceSlots) / meanServiceTime.Seconds()
	end := epoch.Add(w.scenario.WarmUp + 20*time.Second)
	var next func()
	next = func() {
		if w.now.After(end) {
			return
		}
		req := w.newRequest(urgent)
		if req.work.Idempotent {
			req.makeOrder()
		}
		w.offer(req)
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(w.scenario.WarmUp, next)
}
