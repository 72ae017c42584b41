package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
)

// problemPrefix precedes a reason in the type of a problem document.
const problemPrefix = "urn:mastichollow:problem:"

// problem is a problem document (RFC 9457).
type problem struct {
	Type    string     `json:"type"`
	Title   string     `json:"title"`
	Status  int        `json:"status"`
	Detail  string     `json:"detail,omitempty"`
	Request request.ID `json:"request_id"`
	// NotRun is set only if the request did not run and never will.
	NotRun bool `json:"not_run,omitempty"`
	// SubmissionNotRun is set in place of NotRun under an idempotency key of
	// the caller's: this submission did not run, an earlier one under the same
	// key may have.
	SubmissionNotRun bool `json:"submission_not_run,omitempty"`
	// Error repeats the failure in the shape that clients of chat
	// completions read.
	Error problemError `json:"error"`
}

// problemError is the error object of chat completions.
type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// kind is the status and title of a reason.
type kind struct {
	status int
	title  string
}

var kinds = map[request.Reason]kind{
	request.ReasonMalformed:        {http.StatusBadRequest, "Request is malformed"},
	request.ReasonUnauthorized:     {http.StatusUnauthorized, "API key is missing or unknown"},
	request.ReasonForbiddenPool:    {http.StatusForbidden, "Workspace may not call the pool"},
	request.ReasonUnknownPool:      {http.StatusNotFound, "Pool does not exist"},
	request.ReasonNotFound:         {http.StatusNotFound, "Path does not exist"},
	request.ReasonMethodNotAllowed: {http.StatusMethodNotAllowed, "Method is not allowed"},
	request.ReasonTooLarge:         {http.StatusRequestEntityTooLarge, "Request body is too large"},
	request.ReasonHeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, "Request header is too large"},
	request.ReasonPromptTooLarge:   {http.StatusRequestEntityTooLarge, "Prompt is too large"},
	request.ReasonKeyInvalid:       {http.StatusBadRequest, "Idempotency key is invalid"},
	request.ReasonPriorityInvalid:  {http.StatusBadRequest, "Priority is invalid"},
	request.ReasonTimeoutInvalid:   {http.StatusBadRequest, "Timeout is invalid"},
	request.ReasonKeyReused:        {http.StatusUnprocessableEntity, "Idempotency key was used with another request"},
	request.ReasonInProgress:       {http.StatusConflict, "Request under this idempotency key has started"},
	request.ReasonRateLimit:        {http.StatusTooManyRequests, "Rate limit of the workspace is reached"},
	request.ReasonConcurrency:      {http.StatusTooManyRequests, "Concurrency limit of the workspace is reached"},
	request.ReasonQueueFull:        {http.StatusTooManyRequests, "Queue of the workspace is full"},
	request.ReasonDeadline:         {http.StatusGatewayTimeout, "Deadline has passed"},
	request.ReasonNoTarget:         {http.StatusServiceUnavailable, "No target is available"},
	request.ReasonDraining:         {http.StatusServiceUnavailable, "Target is leaving"},
	request.ReasonNotReady:         {http.StatusServiceUnavailable, "Not ready"},
	request.ReasonClaimUnavailable: {http.StatusServiceUnavailable, "Claims cannot be made now"},
	request.ReasonQuarantined:      {http.StatusUnprocessableEntity, "Request crashed targets and is quarantined"},
	request.ReasonSuspect:          {http.StatusServiceUnavailable, "Request is suspected of crashing targets"},
	request.ReasonTargetDown:       {http.StatusServiceUnavailable, "Target is down"},
	request.ReasonTargetFailed:     {http.StatusBadGateway, "Target failed"},
	request.ReasonTargetStalled:    {http.StatusBadGateway, "Target made no progress"},
	request.ReasonTargetCrashed:    {http.StatusBadGateway, "Target crashed"},
	request.ReasonGrantExpired:     {http.StatusServiceUnavailable, "Grant expired"},
	request.ReasonFenced:           {http.StatusServiceUnavailable, "Target refused the order"},
	request.ReasonWithdrawn:        {http.StatusServiceUnavailable, "Offer was withdrawn"},
	request.ReasonConnectionLost:   {http.StatusBadGateway, "Connection to the target was lost"},
	request.ReasonUnknownAttempt:   {http.StatusBadGateway, "Attempt is not known any more"},
	request.ReasonRetryBudget:      {http.StatusServiceUnavailable, "Retry budget of the workspace is spent"},
	request.ReasonAnswerInvalid:    {http.StatusBadGateway, "Answer is invalid"},
	request.ReasonOverloaded:       {http.StatusServiceUnavailable, "Router has no memory for the request"},
	request.ReasonCallerGone:       {499, "Caller closed the connection"},
}

// refuse returns the refusal of a request of which no attempt was made.
func refuse(reason request.Reason, format string, args ...any) *request.RefusedError {
	return &request.RefusedError{
		Reason:  reason,
		Outcome: request.OutcomeNotRun,
		Detail:  fmt.Sprintf(format, args...),
	}
}

// defaultRetryAfter is when to come back after a refusal for a state that
// passes, if the refusing process does not know better.
const defaultRetryAfter = 2 * time.Second

// retryAfter returns when the caller of a refused request may come back; zero:
// it is not said.
func retryAfter(refused *request.RefusedError) time.Duration {
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	switch kindOf(refused.Reason).status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return defaultRetryAfter
	default:
		return 0
	}
}

// kindOf returns the kind of reason; reasons of newer agents are bad gateways.
func kindOf(reason request.Reason) kind {
	if k, ok := kinds[reason]; ok {
		return k
	}
	return kind{http.StatusBadGateway, "Request failed"}
}

// newProblem returns the document of a refusal. keyed is set when the caller
// gave an idempotency key.
func newProblem(id request.ID, e *request.RefusedError, keyed bool) problem {
	k := kindOf(e.Reason)
	notRun := e.Outcome == request.OutcomeNotRun && e.Reason != request.ReasonInProgress
	p := problem{
		Type:             problemPrefix + string(e.Reason),
		Title:            k.title,
		Status:           k.status,
		Detail:           e.Detail,
		Request:          id,
		NotRun:           notRun && !keyed,
		SubmissionNotRun: notRun && keyed,
	}
	p.Error = problemError{Message: k.title, Type: p.Type, Code: string(e.Reason)}
	if e.Detail != "" {
		p.Error.Message += ": " + e.Detail
	}
	return p
}

// write sends the document.
func (p problem) write(w http.ResponseWriter, after time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatInt(seconds(after), 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		return // a problem holds nothing that cannot be encoded
	}
	_, _ = w.Write(append(body, '\n'))
}

// seconds rounds d up to whole seconds.
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
