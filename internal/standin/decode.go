package standin

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
)

// decodeStrict decodes the JSON body of ctx into v and rejects unknown fields. It responds
// to invalid bodies with status 400 and reports false.
func decodeStrict(ctx iris.Context, v any) bool {
	decoder := json.NewDecoder(ctx.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		sendUntypedProblem(ctx, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
