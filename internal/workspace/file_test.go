package workspace

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	testHeader = strings.Join(Columns, ",") + "\n"
	hashA      = strings.Repeat("a", keyHashDigits)
	hashB      = strings.Repeat("b", keyHashDigits)
)

func TestReadFile(t *testing.T) {
	data := byteOrderMark + "pools, name,weight,queue_limit,concurrency,rate_limit,key_hashes\r\n" +
		"letter-writer; shop-api,shop,2.5,100,0,10," + hashA + " " + hashB + "\r\n" +
		"*,\"lens.works\",1,1,5,0,\r\n"
	rows, err := ReadFile(strings.NewReader(data))
	require.NoError(t, err)
	require.Equal(t, []Row{
		{
			Name: "shop", KeyHashes: []string{hashA, hashB}, Weight: 2.5, RateLimit: 10,
			QueueLimit: 100, Pools: []string{"letter-writer", "shop-api"},
		},
		{Name: "lens.works", KeyHashes: []string{}, Weight: 1, Concurrency: 5, QueueLimit: 1, Pools: []string{"*"}},
	}, rows)
}

func TestReadFileReportsEveryFault(t *testing.T) {
	for _, tc := range []struct {
		name   string
		data   string
		faults []Fault // a reason must contain the given text
	}{
		{"empty", "", []Fault{{0, "", "file has no header"}}},
		{"not UTF-8", "name\xff", []Fault{{0, "", "file is not UTF-8"}}},
		{"too large", strings.Repeat("x", MaxFileBytes+1), []Fault{{0, "", "file exceeds"}}},
		{"open quote", testHeader + "\"shop,,1,0,0,1,*\n", []Fault{{2, "", "not CSV"}}},
		{"invalid header", "name,name,colour\n", []Fault{
			{1, "name", "column is duplicated"},
			{1, "colour", "unknown column"},
			{1, "key_hashes", "column is missing"},
			{1, "weight", "column is missing"},
			{1, "rate_limit", "column is missing"},
			{1, "concurrency", "column is missing"},
			{1, "queue_limit", "column is missing"},
			{1, "pools", "column is missing"},
		}},
		{"short row", testHeader + "shop,,1\n", []Fault{{2, "", "3 cells"}}},
		{"invalid cells", testHeader + "Big Shop,xyz,0,-1,-1,0,\n", []Fault{
			{2, "name", `"Big Shop" does not match`},
			{2, "weight", "0 is not between"},
			{2, "rate_limit", "-1 is not between"},
			{2, "concurrency", "-1 is not between"},
			{2, "queue_limit", "0 is not between"},
			{2, "key_hashes", `"xyz" is not a SHA-256`},
			{2, "pools", "no pool is listed"},
		}},
		{"not numbers", testHeader + "shop,,much,NaN,1.5,,*\n", []Fault{
			{2, "weight", `"much" is not a number`},
			{2, "concurrency", `"1.5" is not a number`},
			{2, "queue_limit", `"" is not a number`},
			{2, "rate_limit", "NaN is not between"},
		}},
		{"NaN weight", testHeader + "shop,,NaN,0,0,1,*\n", []Fault{{2, "weight", "NaN is not between"}}},
		{"infinite weight", testHeader + "shop,,Inf,0,0,1,*\n", []Fault{{2, "weight", "+Inf is not between"}}},
		{"duplicates", testHeader + "shop," + hashA + ",1,0,0,1,*\nshop," + hashA + ",1,0,0,1,a;a\n", []Fault{
			{3, "key_hashes", "key hash"},
			{3, "pools", `pool "a" is duplicated`},
			{3, "name", `workspace "shop" is already in row 2`},
		}},
		{"upper-case hash", testHeader + "shop," + strings.ToUpper(hashA) + ",1,0,0,1,*\n", []Fault{
			{2, "key_hashes", `"AAAA`},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rows, err := ReadFile(strings.NewReader(tc.data))
			require.Nil(t, rows)
			var faults *FaultsError
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults.Faults, len(tc.faults), "%v", err)
			for i, want := range tc.faults {
				got := faults.Faults[i]
				require.Equal(t, Fault{want.Row, want.Column, got.Reason}, got)
				require.Contains(t, got.Reason, want.Reason)
			}
		})
	}
}

// randomRow generates a valid row.
func randomRow(t *rapid.T, name string) Row {
	return Row{
		Name:        name,
		Weight:      rapid.Float64Range(MinWeight, MaxWeight).Draw(t, "weight"),
		RateLimit:   rapid.Float64Range(0, MaxRateLimit).Draw(t, "rate"),
		Concurrency: rapid.IntRange(0, MaxConcurrency).Draw(t, "concurrency"),
		QueueLimit:  rapid.IntRange(1, MaxQueueLimit).Draw(t, "queue"),
		Pools:       rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"*", "a", "b/c", "d"}), 1, 3, rapid.ID).Draw(t, "pools"),
	}
}

// randomRows generates the rows of a valid table.
func randomRows(t *rapid.T) []Row {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), rapid.ID).Draw(t, "names")
	rows := make([]Row, 0, len(names))
	for _, name := range names {
		rows = append(rows, randomRow(t, name))
	}
	return rows
}

func TestWriteFileRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := NewTable().Apply(Change{HasRows: true, Rows: randomRows(t)})
		require.NoError(t, err)
		var buf bytes.Buffer
		require.NoError(t, table.WriteFile(&buf))
		rows, err := ReadFile(&buf)
		require.NoError(t, err)
		again, err := NewTable().Apply(Change{HasRows: true, Rows: rows})
		require.NoError(t, err)
		require.Empty(t, Diff(table, again))
	})
}

func FuzzReadFile(f *testing.F) {
	f.Add([]byte(testHeader + "shop," + hashA + ",1,0,0,1,*\n"))
	f.Add([]byte(testHeader + "shop,,1e309,-0,0,1,a;a\n"))
	f.Add([]byte("name\n\"\n"))
	f.Add([]byte(byteOrderMark))
	f.Add([]byte("\n\n,\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := ReadFile(bytes.NewReader(data))
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		table, err := NewTable().Apply(Change{HasRows: true, Rows: rows})
		require.NoError(t, err, "an accepted file makes a valid table")
		stored, err := table.Encode()
		require.NoError(t, err)
		decoded, err := Decode(stored, 1)
		require.NoError(t, err, "an accepted file can be stored")
		require.Empty(t, Diff(table, decoded))
	})
}
