package router

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model is one model that a workspace may call.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models that row may call, sorted by name.
func listModels(idx *index, row *workspace.Row) modelList {
	list := modelList{Object: "list", Data: []model{}}
	for name, p := range idx.pools {
		if p.kind == target.KindModel && row.Allows(name) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "mastichollow"})
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// write sends the list as JSON.
func (l modelList) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}
