package queue

import (
	"math"
	"sort"

	"waxwingwall"
)

// headroomFactor times the square root of the most urgent rank's demand is the number of slots
// kept free for its arrivals.
const headroomFactor = 2.0

// Demand is the demand and the grant of one account in a rank, over all routers, in slots.
type Demand struct {
	Account waxwingwall.Account
	Weight  float64
	Want    float64
	Granted float64
}

// Allocation is the division of capacity among the ranks, in slots.
type Allocation struct {
	// Granted is in the order of the ranks; Headroom is kept free for the most urgent one, and
	// Spare is claimed by none.
	Granted  []float64
	Headroom float64
	Spare    float64
}

// DivideByRank grants each rank its demand up to its floor, which is a fraction of the capacity,
// and then the remaining capacity in order of urgency; the most urgent rank is first.
func DivideByRank(want, floors []float64, capacity float64) Allocation {
	a := Allocation{
		Granted: make([]float64, len(want)),
	}
	left := capacity
	for i := range want {
		a.Granted[i] = min(want[i], floors[i]*capacity)
		left -= a.Granted[i]
	}
	for i := range want {
		more := min(want[i]-a.Granted[i], left)
		a.Granted[i] += more
		left -= more
		if i == 0 {
			a.Headroom = min(left, headroomFactor*math.Sqrt(want[0]))
			left -= a.Headroom
		}
	}
	a.Spare = left
	return a
}

// DivideByWeight divides the slots of a rank among its accounts by weight (max-min fairness): no
// account gets more than its demand, and unused slots go to the others.
func DivideByWeight(demands []Demand, slots float64) {
	order := make([]int, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = i
		weights += demands[i].Weight
	}
	perWeight := func(i int) float64 { return demands[i].Want / demands[i].Weight }
	sort.SliceStable(order, func(a, b int) bool {
		x, y := perWeight(order[a]), perWeight(order[b])
		if x != y {
			return x < y
		}
		return demands[order[a]].Account < demands[order[b]].Account
	})
	for _, i := range order {
		d := &demands[i]
		d.Granted = min(d.Want, slots*d.Weight/weights)
		slots -= d.Granted
		weights -= d.Weight
	}
}
