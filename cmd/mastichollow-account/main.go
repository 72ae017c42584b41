// Command mastichollow-account reads the log lines of gates and reports which requests
// were not served in time, for which workspaces and why.
package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/account"
	"github.com/mastichollow/mastichollow/internal/process"
)

const (
	program     = "mastichollow-account"
	description = "Reads the log lines of gates and tells where service was lost, for whom and why."
)

type settings struct {
	Files        []string `arg:"" optional:"" help:"Log files of gates; none: standard input." type:"existingfile"`
	JSON         bool     `help:"Write JSON in place of tables."`
	Page         string   `help:"HTML file for a page with charts." placeholder:"FILE"`
	MostAttempts int      `help:"Attempts of callers that are kept in memory, some 400 bytes each." default:"1000000"`
}

func main() {
	var s settings
	os.Exit(process.Main(program, description, &s, s.validate, func(context.Context) error {
		return s.run(os.Stdin, os.Stdout)
	}))
}

func (s *settings) validate() error {
	if s.MostAttempts <= 0 {
		return errors.New("--most-attempts must be above 0")
	}
	return nil
}

func (s *settings) run(in io.Reader, out io.Writer) error {
	reader := account.NewReader(account.Options{MaxAttempts: s.MostAttempts})
	if err := s.readLogs(reader, in); err != nil {
		return err
	}
	summary := reader.Summary()
	if err := s.writePage(summary); err != nil {
		return err
	}
	if s.JSON {
		return summary.WriteJSON(out)
	}
	return summary.WriteTables(out)
}

func (s *settings) readLogs(reader *account.Reader, in io.Reader) error {
	if len(s.Files) == 0 {
		return reader.Read(in)
	}
	for _, path := range s.Files {
		file, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "opening a log file")
		}
		if err := errors.CombineErrors(reader.Read(file), file.Close()); err != nil {
			return errors.Wrap(err, path)
		}
	}
	return nil
}

func (s *settings) writePage(summary *account.Summary) error {
	if s.Page == "" {
		return nil
	}
	file, err := os.Create(s.Page)
	if err != nil {
		return errors.Wrap(err, "creating the HTML page")
	}
	return errors.CombineErrors(summary.WritePage(file), file.Close())
}
