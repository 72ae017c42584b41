package standin

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// parseOrder returns the field "order" of the body of an order.
func parseOrder(body []byte) (string, error) {
	var fields struct {
		Order string `json:"order"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", errors.Wrap(err, "decoding an order")
	}
	if fields.Order == "" {
		return "", errors.New(`order has no field "order"`)
	}
	return fields.Order, nil
}
