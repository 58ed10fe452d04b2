package service_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"waxwingwall/io/endpoint"
	"waxwingwall/io/service"
	"waxwingwall/sim"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "service", suite, reporter)
}

var _ = Describe("a call", func() {
	var (
		w *sim.World
		c *service.Client
	)
	BeforeEach(func() {
		var err error
		var stop, closeClient func()
		w, stop, err = sim.New(sim.WithService(sim.ServiceConfig{
			Name: "orders",
		}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		c, closeClient = service.New(service.WithTimeout(300 * time.Millisecond))
		DeferCleanup(closeClient)
	})
	do := func(attempt string, idempotent bool) (service.Answer, error) {
		return c.Do(context.Background(), service.Call{
			Address:    w.Services[0].ListenAddress(),
			Attempt:    attempt,
			Idempotent: idempotent,
			Body:       "two loaves",
		})
	}
	failure := func(err error) endpoint.Failure {
		GinkgoHelper()
		var e *endpoint.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		return e.Failure
	}
	inject := func(kind sim.FaultKind) {
		Expect(w.Inject(sim.Fault{
			Target:  "orders",
			Kind:    kind,
			Count:   1,
			DelayMS: 10_000,
		})).To(Succeed())
	}

	It("is answered", func() {
		a, err := do("1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Body).To(Equal(sim.ServiceBody("two loaves")))
	})

	It("runs once when its answer is lost, and is not reported as refused", func() {
		_, err := do("1", false)
		Expect(err).NotTo(HaveOccurred())
		inject(sim.Lose)
		_, err = do("2", false)
		Expect(failure(err)).To(Equal(endpoint.Crashed))
		Expect(w.Audit.Report().Calls).To(HaveLen(2))
	})

	It("is refused only when no connection is opened", func() {
		inject(sim.Crash)
		_, err := do("1", false)
		Expect(failure(err)).To(Equal(endpoint.Declined))
		Expect(w.Audit.Report().Calls).To(BeEmpty())
	})

	It("times out when no answer arrives", func() {
		inject(sim.Freeze)
		_, err := do("1", false)
		Expect(failure(err)).To(Equal(endpoint.IdleTimeout))
	})

	It("is sent on a single connection when each is closed without an answer", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		var opened atomic.Int32
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				opened.Add(1)
				_ = conn.Close()
			}
		}()
		// Whether the close of the connection is noticed before, during or after the
		// write is random, so there are many calls.
		const calls = 300
		for i := range calls {
			_, err = c.Do(context.Background(), service.Call{
				Address: netip.MustParseAddrPort(l.Addr().String()),
				Attempt: "1",
			})
			Expect(failure(err)).To(Equal(endpoint.Crashed), "call %d: %v", i, err)
		}
		Expect(opened.Load()).To(BeEquivalentTo(calls))
	})
})
