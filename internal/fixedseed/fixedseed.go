// Package fixedseed makes property tests draw the same values on each run. A
// test imports it for its effect; the flag -rapid.seed still takes another seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

// seed is the seed of all property tests.
const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
