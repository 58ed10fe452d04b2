package edge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// roomFleet is a fleet whose routers run as many requests as they believe there is room for.
// Each hears of a part of the others, with a delay.
type roomFleet struct {
	random  *rand.Rand
	slots   int
	want    []int
	running []int
	listed  []bool
	dead    []bool
	hears   func(i, j int) bool
	sees    func(i, j int) bool
	delay   int
	rounds  int
	lostAt  int
	history [][]int
}

// newRoomFleet returns a fleet in front of slots in proportion. Callers use half of the routers,
// 24 at most, which want factor times all slots together.
func newRoomFleet(n int, factor float64) *roomFleet {
	f := &roomFleet{
		random:  rand.New(rand.NewPCG(1, uint64(n))),
		slots:   20 * n,
		want:    make([]int, n),
		running: make([]int, n),
		listed:  make([]bool, n),
		dead:    make([]bool, n),
		sees:    func(int, int) bool { return true },
	}
	used := min(n/2, closeFanout)
	for i := range used {
		f.listed[i] = true
		f.want[i] = int(factor * float64(f.slots) / float64(used) * (0.5 + float64(i)/float64(used-1)))
	}
	// A router hears of 12 others or so, and those that callers use of each other.
	f.hears = func(i, j int) bool {
		return mix(uint64(i+1), mix(1, uint64(j)))%uint64(n) < reportFanout || f.listed[i] && f.listed[j]
	}
	return f
}

// round lets a tenth of the requests end, and each router start what it has room for.
func (f *roomFleet) round() {
	now := make([]int, len(f.running))
	for i := range f.running {
		f.running[i] -= (f.running[i] + f.random.IntN(10)) / 10
		now[i] = f.wants(i)
	}
	f.history = append(f.history, now)
	f.rounds++
	for i := range f.running {
		if f.dead[i] {
			f.running[i], f.want[i] = 0, 0
			continue
		}
		room := routerRoom(f.slots, f.running[i], max(f.wants(i)-f.running[i], 0), sumPeers(f.peers(i)))
		f.running[i] = max(f.running[i], min(f.wants(i), int(math.Ceil(room))))
	}
}

// wants returns what callers want of a router, which goes up and down by a fifth.
func (f *roomFleet) wants(i int) int {
	return int(float64(f.want[i]) * (1 + 0.2*math.Sin(float64(f.rounds+7*i)/5)))
}

func (f *roomFleet) peers(i int) []peerRoom {
	var all []peerRoom
	for j := range f.running {
		if i == j {
			continue
		}
		old := len(f.history) - 1 - f.delay
		p := peerRoom{
			listed: f.listed[j],
			lost:   f.dead[j] || !f.sees(i, j),
			known:  old >= 0 && f.hears(i, j),
		}
		if p.known && p.lost {
			old = min(old, f.lostAt)
		}
		if p.known {
			p.running = f.history[old][j]
			p.age = time.Duration(f.delay) * 200 * time.Millisecond
		}
		all = append(all, p)
	}
	return all
}

func (f *roomFleet) used() float64 {
	sum := 0
	for _, n := range f.running {
		sum += n
	}
	return float64(sum) / float64(f.slots)
}

// TestRoomInFleets: callers want 0.7 of the room, and then 2.5 times the room or 0.7 as before, by way of some of the routers
// of fleets of 8, 72 and 295. Reports are 0 or 2 s old; three routers that callers use die;
// half of the routers don't see the others, or none sees any; no report comes at all. The routers together use
// most of the room and not much more, and none believes it short that isn't.
func TestRoomInFleets(t *testing.T) {
	for _, n := range []int{8, 72, 295} {
		for name, test := range map[string]struct {
			factor float64
			change func(f *roomFleet)

			// least and most limit the use of the room.
			least, most float64
		}{
			"burst":            {2.5, func(*roomFleet) {}, 0.9, 1.25},
			"quiet":            {0.7, func(*roomFleet) {}, 0.6, 0.8},
			"old reports":      {2.5, func(f *roomFleet) { f.delay = 10 }, 0.9, 1.25},
			"quiet, old":       {0.7, func(f *roomFleet) { f.delay = 10 }, 0.6, 0.8},
			"three die":        {2.5, func(f *roomFleet) { f.dead[0], f.dead[1], f.dead[2] = true, true, true }, 0.6, 1.25},
			"half cut off":     {2.5, func(f *roomFleet) { f.sees = func(i, j int) bool { return i%2 == j%2 } }, 0.8, 1.25},
			"all cut off":      {0.7, func(f *roomFleet) { f.sees = func(int, int) bool { return false } }, 0.6, 0.8},
			"no report at all": {2.5, func(f *roomFleet) { f.hears = func(int, int) bool { return false } }, 0, 1.05},
		} {
			t.Run(fmt.Sprintf("%d routers, %s", n, name), func(t *testing.T) {
				f := newRoomFleet(n, 0.7)
				for range 40 {
					f.round()
				}
				f.lostAt = f.rounds - 1
				test.change(f)
				for i := range f.want {
					f.want[i] = int(float64(f.want[i]) * test.factor / 0.7)
				}
				least, most := math.Inf(1), 0.0
				for i := range 60 {
					f.round()
					if i >= 20 {
						least, most = min(least, f.used()), max(most, f.used())
					}
				}
				t.Logf("used from %.2f to %.2f of the room", least, most)
				if least < test.least || most > test.most {
					t.Errorf("used from %.2f to %.2f of the room", least, most)
				}
			})
		}
	}
}
