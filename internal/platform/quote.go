package platform

import (
	"strconv"
	"strings"
)

// quoteAll returns the quoted keys, joined by commas.
func quoteAll(keys []string) string {
	quoted := make([]string, 0, len(keys))
	for _, k := range keys {
		quoted = append(quoted, strconv.Quote(k))
	}
	return strings.Join(quoted, ", ")
}
