package standin

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
)

// readStrict decodes the JSON body of ctx into v, which knows all of its
// fields. It answers bad bodies with status 400 and reports false.
func readStrict(ctx iris.Context, v any) bool {
	decoder := json.NewDecoder(ctx.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		refuse(ctx, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
