package test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// checkVersions checks that no answer was continued at another version than the one that
// began it. It returns how many answers were continued.
func (f *fleet) checkVersions() int {
	GinkgoHelper()
	versions := map[string]string{}
	for i, e := range f.world.Engines {
		versions[e.Name] = f.versions[i]
	}
	began := map[string]string{}
	continued, mixed := 0, 0
	for _, r := range f.world.Audit.Report().Runs {
		version := versions[r.Endpoint]
		if r.ContinueFrom == 0 {
			began[r.Identity] = version
			continue
		}
		continued++
		if began[r.Identity] != version {
			mixed++
		}
	}
	Expect(mixed).To(BeZero(), "answers of %d that were continued at another version", continued)
	return continued
}

// The specs guard against answers that are joined from the output of engines of several
// versions, after an engine or the router that runs the request was lost.
var _ = Describe("a fleet with engines of two versions", func() {
	It("continues an answer at the version that began it when engines crash", func(_ SpecContext) {
		f := newFleet(routers, ampleBudget, "v1", "v1", "v2", "v2")
		const n = 12
		l := f.startLoad("crash", n, 100)
		for _, i := range []int{0, 2} {
			Eventually(f.begun("crash")).Should(BeNumerically(">=", n))
			time.Sleep(300 * time.Millisecond)
			f.world.Engines[i].Crash()
		}
		l.wait()
		Expect(f.checkVersions()).To(BeNumerically(">", 0))
		Expect(f.countComplete("crash-draft")).To(Equal(n))
		f.check()
	}, SpecTimeout(specTimeout))

	It("continues an answer at the version that began it when a router is killed", func(_ SpecContext) {
		f := newFleet(routers, ampleBudget, "v1", "v1", "v2", "v2")
		f.awaitBalanced()
		const n = 24
		l := f.startLoad("kill", n, 150)
		Eventually(f.begun("kill")).Should(BeNumerically(">=", n))
		time.Sleep(300 * time.Millisecond)
		f.routers[0].kill()
		l.wait()
		Expect(f.checkVersions()).To(BeNumerically(">", 0))
		Expect(f.countComplete("kill-draft")).To(Equal(n))
		f.check()
	}, SpecTimeout(specTimeout))
})
