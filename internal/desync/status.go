package desync

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalidStatus marks responses whose status is not three digits from 100 to 599. net/http
// accepts others, and panics when a server writes one below 100.
var ErrInvalidStatus = errors.New("response has an invalid status")

const (
	minStatus = 100
	maxStatus = 599
	// statusDigits is the length of a status.
	statusDigits = 3
)

// CheckStatus returns an error marked ErrInvalidStatus if the status of a parsed response is
// invalid.
func CheckStatus(resp *http.Response) error {
	valid := resp.StatusCode >= minStatus && resp.StatusCode <= maxStatus && len(resp.Status) >= statusDigits
	for i := range statusDigits {
		valid = valid && resp.Status[i] >= '0' && resp.Status[i] <= '9'
	}
	if valid {
		return nil
	}
	return errors.Mark(errors.Newf("response with status %.16q", resp.Status), ErrInvalidStatus)
}
