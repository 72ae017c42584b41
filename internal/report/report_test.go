package report

import (
	"bytes"
	"encoding/xml"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

var measures = []Measure{
	{Name: "in_time", Size: "gate", Policy: "shares", Scenario: "flood", Value: 0.547, Decimals: 3},
	{Name: "in_time", Size: "gate", Policy: "no_shares", Scenario: "flood", Value: 0.287, Decimals: 3},
	{Name: "late", Size: "gate", Policy: "shares", Scenario: "flood", Value: 0.04, Decimals: 2},
}

func TestWriteLines(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, WriteLines(&out, measures))
	require.Equal(t, "in_time size=gate policy=shares scenario=flood value=0.547\n"+
		"in_time size=gate policy=no_shares scenario=flood value=0.287\n"+
		"late size=gate policy=shares scenario=flood value=0.04\n", out.String())
}

func TestWriteSVGChartPerMeasureBarPerPolicy(t *testing.T) {
	require.Len(t, groupPanels(measures), 2)
	require.Len(t, groupPanels(measures)[0].measures, 2)
	var first, second bytes.Buffer
	require.NoError(t, WriteSVG(&first, measures))
	require.NoError(t, WriteSVG(&second, measures))
	require.Equal(t, first.String(), second.String(), "the same measures make the same page")
	for _, text := range []string{"in_time, flood, gate", "late, flood, gate", "no_shares"} {
		require.Contains(t, first.String(), text)
	}
	for decoder := xml.NewDecoder(&first); ; {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
	}
	require.ErrorIs(t, WriteSVG(&first, nil), ErrNoMeasures)
}
