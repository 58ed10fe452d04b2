package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"waxwingwall/io/caller"
	"waxwingwall/router"
)

// TestNoConfigurationIsNotWrongKey checks that a router without a configuration
// answers with a retryable status. A caller does not retry after an invalid
// key, but it has to while the router is still starting.
func TestNoConfigurationIsNotWrongKey(t *testing.T) {
	g := NewWithT(t)
	handler, err := caller.New(&router.Router{})
	g.Expect(err).NotTo(HaveOccurred())
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
		strings.NewReader(`{"model":"drafts","messages":[{"role":"user","content":"a"}]}`))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(w.Body.String()).To(ContainSubstring(`"outcome":"not_run"`))
}
