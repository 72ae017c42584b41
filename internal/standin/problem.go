package standin

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
)

// problem is a problem document (RFC 9457).
type problem struct {
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
}

// sendUntypedProblem responds with a problem document without a type.
func sendUntypedProblem(ctx iris.Context, status int, title string) {
	sendProblem(ctx, problem{Title: title, Status: status})
}

func sendProblem(ctx iris.Context, p problem) {
	body, err := json.Marshal(p)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx.StatusCode(p.Status)
	ctx.ContentType("application/problem+json")
	_, _ = ctx.Write(body)
	ctx.StopExecution()
}
