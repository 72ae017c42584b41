// Package deps pins the libraries that packages under way will import. It goes
// once they do.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gocarina/gocsv"
	_ "github.com/kataras/iris/v12"
	_ "github.com/quic-go/quic-go"
	_ "github.com/sashabaranov/go-openai"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
