package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Paths of the platform's HTTP interface.
const (
	PathItem         = "/table/item"         // GET ?key=
	PathItems        = "/table/items"        // GET ?prefix=
	PathTransactions = "/table/transactions" // POST Transaction
	PathObject       = "/object"             // GET and PUT ?key=
	PathVMs          = "/vms"                // GET
)

// Transaction is the body of a commit.
type Transaction struct {
	Writes []Write `json:"writes"`
}

// Committed is the response to a transaction that was applied.
type Committed struct {
	Version uint64 `json:"version"`
}

// Conflict is the response to a transaction that was not applied (status 409).
type Conflict struct {
	Keys []string `json:"keys"`
}

// Items is the response to a listing.
type Items struct {
	Items []Item `json:"items"`
}

// TableClient is a TableService over HTTP.
type TableClient struct {
	serviceClient *serviceClient
}

// NewTableClient returns a client of the table service at base (URL).
func NewTableClient(base string, options Options) *TableClient {
	return &TableClient{serviceClient: newServiceClient(base, options)}
}

// Get implements TableService.
func (t *TableClient) Get(ctx context.Context, key string) (Item, error) {
	call := call{method: http.MethodGet, path: PathItem, query: url.Values{"key": {key}}}
	status, body, err := t.serviceClient.do(ctx, call)
	if err != nil {
		return Item{}, err
	}
	if status != http.StatusOK {
		return Item{}, statusError(call, status)
	}
	item, err := decodeItem(body, key)
	return item, errors.Wrapf(err, "%s", call)
}

// List implements TableService.
func (t *TableClient) List(ctx context.Context, prefix string) ([]Item, error) {
	call := call{method: http.MethodGet, path: PathItems, query: url.Values{"prefix": {prefix}}}
	status, body, err := t.serviceClient.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Mark(errors.Newf("%s: status %d", call, status), ErrUnavailable)
	}
	items, err := decodeItems(body, prefix)
	return items, errors.Wrapf(err, "%s", call)
}

// Commit implements TableService.
func (t *TableClient) Commit(ctx context.Context, writes ...Write) (uint64, error) {
	body, err := json.Marshal(Transaction{Writes: writes})
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "encoding a transaction"), ErrUnavailable)
	}
	call := call{method: http.MethodPost, path: PathTransactions, body: body}
	status, response, err := t.serviceClient.do(ctx, call)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		version, err := decodeCommitted(response)
		return version, errors.Wrapf(err, "%s", call)
	case http.StatusConflict:
		return 0, errors.Wrapf(decodeConflict(response, writes), "%s", call)
	default:
		return 0, statusError(call, status)
	}
}

// decodeItem decodes the response to a Get of key.
func decodeItem(body []byte, key string) (Item, error) {
	var item Item
	if err := json.Unmarshal(body, &item); err != nil {
		return Item{}, errors.Mark(errors.Wrap(err, "decoding an item"), ErrUnavailable)
	}
	if item.Key != key || item.Version == 0 {
		return Item{}, errors.Mark(errors.Newf("answer holds item %q of version %d", item.Key, item.Version), ErrUnavailable)
	}
	return item, nil
}

// decodeItems decodes the response to a List of prefix.
func decodeItems(body []byte, prefix string) ([]Item, error) {
	var items Items
	if err := json.Unmarshal(body, &items); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding items"), ErrUnavailable)
	}
	for _, item := range items.Items {
		if !strings.HasPrefix(item.Key, prefix) || item.Version == 0 {
			return nil, errors.Mark(errors.Newf("answer holds item %q of version %d", item.Key, item.Version), ErrUnavailable)
		}
	}
	slices.SortFunc(items.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items.Items, nil
}

// decodeCommitted decodes the response to a transaction that was applied.
func decodeCommitted(body []byte) (uint64, error) {
	var committed Committed
	if err := json.Unmarshal(body, &committed); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "decoding the answer to a transaction"), ErrUncertain)
	}
	if committed.Version == 0 {
		return 0, errors.Mark(errors.New("answer to a transaction holds no version"), ErrUncertain)
	}
	return committed.Version, nil
}

// decodeConflict decodes the response to a transaction that was not applied. If it does
// not name keys of the transaction, the effect of the transaction is uncertain.
func decodeConflict(body []byte, writes []Write) error {
	var conflict Conflict
	if err := json.Unmarshal(body, &conflict); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding a conflict"), ErrUncertain)
	}
	if len(conflict.Keys) == 0 {
		return errors.Mark(errors.New("conflict names no keys"), ErrUncertain)
	}
	for _, key := range conflict.Keys {
		written := slices.ContainsFunc(writes, func(w Write) bool { return w.Key == key })
		if !written {
			return errors.Mark(errors.Newf("conflict names key %q, which was not written", key), ErrUncertain)
		}
	}
	return &ConflictError{Keys: conflict.Keys}
}
