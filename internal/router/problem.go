package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
)

// problemPrefix is prepended to the reason in the type of a problem document.
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
	// SubmissionNotRun is set instead of NotRun if the caller sent an idempotency key:
	// this submission did not run, but an earlier one with the same key may have.
	SubmissionNotRun bool `json:"submission_not_run,omitempty"`
	// Error repeats the failure in the format that clients of chat completions parse.
	Error problemError `json:"error"`
}

// problemError is the error object of the chat completions API.
type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// problemKind is the HTTP status and title for a reason.
type problemKind struct {
	status int
	title  string
}

var problemKinds = map[request.Reason]problemKind{
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
	request.ReasonNoAllowedTarget:  {http.StatusServiceUnavailable, "No target is available in the allowed regions"},
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

// newRefusal returns the refusal of a request for which no attempt was made.
func newRefusal(reason request.Reason, format string, args ...any) *request.RefusedError {
	return &request.RefusedError{
		Reason:  reason,
		Outcome: request.OutcomeNotRun,
		Detail:  fmt.Sprintf(format, args...),
	}
}

// defaultRetryAfter is the Retry-After of temporary refusals that name no time.
const defaultRetryAfter = 2 * time.Second

// retryAfter returns the time after which the caller of a refused request should
// retry; 0 means that no Retry-After is sent.
func retryAfter(refused *request.RefusedError) time.Duration {
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	switch problemKindOf(refused.Reason).status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return defaultRetryAfter
	default:
		return 0
	}
}

// problemKindOf returns the status and title of reason. A reason that is unknown, as
// from a newer agent, becomes 502 Bad Gateway.
func problemKindOf(reason request.Reason) problemKind {
	if k, ok := problemKinds[reason]; ok {
		return k
	}
	return problemKind{http.StatusBadGateway, "Request failed"}
}

// newProblem returns the problem document of a refusal. keyed is set if the caller
// sent an idempotency key.
func newProblem(id request.ID, e *request.RefusedError, keyed bool) problem {
	k := problemKindOf(e.Reason)
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

// write sends the document, with Retry-After if delay is positive.
func (p problem) write(w http.ResponseWriter, delay time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if delay > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(delay), 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		return // cannot happen: all fields can be encoded
	}
	_, _ = w.Write(append(body, '\n'))
}

// wholeSeconds rounds d up to whole seconds.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
