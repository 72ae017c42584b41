package gate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

// failedRequests is more than the retries that the budget of a fixture allows.
const failedRequests = 120

// Guards against retries that reached no target and still consumed the budget: while all
// other targets of a service were full, callers got fewer retries than the budget allows.
func TestRetryThatReachesNoTargetKeepsBudget(t *testing.T) {
	// Nothing listens on privileged ports, and no other process is given one meanwhile.
	unreachable := []string{"127.0.0.1:1", "127.0.0.1:2"}
	for name, others := range map[string][]string{"no other target": nil, "others unreachable": unreachable} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testRoutes(idempotent), respond(500, "", "sorry"))
			listed := f.directory.Current().Available("letters")
			for _, addr := range others {
				listed = append(listed, target.Instance{ID: addr, Addr: addr, Service: "letters", Domain: "d", Slots: 8})
			}
			f.directory.Replace(listed, 0, false)
			for range failedRequests {
				require.Contains(t, []int{500, 502, 503}, f.send("/p/", "body").status)
			}
			require.NotNil(t, f.controller.AcquireRetry(f.gate.config.Now(), "letters"))
		})
	}
}

// Guards against a budget that is returned although the retry was sent.
func TestRetriesSentConsumeBudget(t *testing.T) {
	f := newFixture(t, testRoutes(idempotent), respond(500, "", "sorry"), respond(500, "", "sorry"))
	for range failedRequests {
		f.send("/p/", "body")
	}
	sent := len(f.receivedRequests())
	require.Less(t, sent, 2*failedRequests)
	require.Nil(t, f.controller.AcquireRetry(f.gate.config.Now(), "letters"))
}
