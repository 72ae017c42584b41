package overload

import "fmt"

// work returns the request's tokens of work as the platform counts them: a generated
// token counts as two prompt tokens.
func (r *request) work() float64 {
	return float64(r.admissionRequest.PromptTokens + 2*r.admissionRequest.OutputTokens)
}

// StarvedWorkspaces returns a line for each workspace that fails the platform's fairness
// criterion in some window of the load.
func (r *Result) StarvedWorkspaces() []string {
	var starved []string
	for _, w := range r.Fairness.LowestWindows() {
		if w.Starved() {
			starved = append(starved, fmt.Sprintf("%s from %.0f s: fair share %.0f, served %.0f", w.Workspace, w.From, w.FairShare, w.Served))
		}
	}
	return starved
}
