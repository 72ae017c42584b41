// Package prompt has the types that describe prompts of engines.
package prompt

// Part is a consecutive part of a prompt, identified by hash. Requests may share all
// parts but the last, which is unique to its request.
type Part struct {
	Hash   uint64
	Tokens int
}
