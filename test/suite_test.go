// Package test has failure tests over real processes.
//
// Each test starts a fleet of routers as separate processes, with the
// stand-ins of package sim in its own process, injects a fault under load, and
// then compares the answers to callers with the bills in the table and with the
// audit of actual runs.
package test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	SetDefaultEventuallyPollingInterval(50 * time.Millisecond)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "processes", suite, reporter)
}

// routerPath is the path of the router's binary, which is built once.
var routerPath string

var _ = BeforeSuite(func() {
	var err error
	routerPath, err = gexec.Build("waxwingwall/cmd/waxwingwall")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)
