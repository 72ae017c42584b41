package standin

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// parseOrder returns the field "order" of an order's body.
func parseOrder(body []byte) (string, error) {
	var placed struct {
		Order string `json:"order"`
	}
	if err := json.Unmarshal(body, &placed); err != nil {
		return "", errors.Wrap(err, "decoding an order")
	}
	if placed.Order == "" {
		return "", errors.New(`order has no field "order"`)
	}
	return placed.Order, nil
}
