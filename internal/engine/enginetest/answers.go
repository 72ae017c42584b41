package enginetest

import (
	"bytes"
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// readAnswer reads an answer to its end. It returns the body and the units read before
// the error that ended it, and that error.
func readAnswer(ctx context.Context, answer engine.Answer) (string, int64, error) {
	var body strings.Builder
	units := int64(0)
	for {
		frame, err := answer.Next(ctx)
		if err != nil {
			return body.String(), units, err
		}
		body.Write(frame.Data)
		units += frame.Units
	}
}

// withAnswer makes the subject's call, runs use on its answer and closes it.
func withAnswer(ctx context.Context, s Subject, use func(engine.Answer) error) error {
	answer, err := s.Do(ctx, s.Call())
	if err != nil {
		return errors.Wrap(err, "making the call")
	}
	err = use(answer)
	return errors.CombineErrors(err, answer.Close())
}

func checkCompleteAnswer(ctx context.Context, s Subject) error {
	return withAnswer(ctx, s, func(answer engine.Answer) error { return wantCompleteAnswer(ctx, s, answer) })
}

func wantCompleteAnswer(ctx context.Context, s Subject, answer engine.Answer) error {
	if answer.Status() != s.Want.Status {
		return errors.Newf("status is %d, want %d", answer.Status(), s.Want.Status)
	}
	for name, value := range s.Want.Header {
		if got := answer.Header().Get(name); got != value {
			return errors.Newf("header %s is %q, want %q", name, got, value)
		}
	}
	body, units, err := readAnswer(ctx, answer)
	if !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "answer is not complete")
	}
	if body != s.Want.Body {
		return errors.Newf("body is %q, want %q", body, s.Want.Body)
	}
	if units != s.Want.Units {
		return errors.Newf("answer has %d units, want %d", units, s.Want.Units)
	}
	if _, err := answer.Next(ctx); !errors.Is(err, io.EOF) {
		return errors.Newf("read after the end returns %v, want EOF", err)
	}
	return nil
}

func checkCallArrives(ctx context.Context, s Subject) error {
	if err := checkCompleteAnswer(ctx, s); err != nil {
		return err
	}
	received, err := singleCall(s)
	if err != nil {
		return err
	}
	want := s.Call()
	if received.Method != want.Method || received.Path != want.Path || !bytes.Equal(received.Body, want.Body) {
		return errors.Newf("target got %s %s %q, want %s %s %q",
			received.Method, received.Path, received.Body, want.Method, want.Path, want.Body)
	}
	if received.Attempt != want.Attempt || received.Fence != want.Fence {
		return errors.Newf("target got attempt %q with fence %d, want attempt %q with fence %d",
			received.Attempt, received.Fence, want.Attempt, want.Fence)
	}
	return wantHeaders(received, want)
}

// wantHeaders returns an error unless the end-to-end header of want arrived and the
// hop-by-hop header did not.
func wantHeaders(received, want engine.Call) error {
	if got := received.Header.Get("Idempotency-Key"); got != want.Header.Get("Idempotency-Key") {
		return errors.Newf("header Idempotency-Key is %q", got)
	}
	if got := received.Header.Get("Proxy-Authorization"); got != "" {
		return errors.Newf("header Proxy-Authorization was forwarded: %q", got)
	}
	return nil
}

func singleCall(s Subject) (engine.Call, error) {
	received := s.Received()
	if len(received) != 1 {
		return engine.Call{}, errors.Newf("target received %d calls, want 1", len(received))
	}
	return received[0], nil
}

func checkProbe(ctx context.Context, s Subject) error {
	start, err := s.Probe(ctx)
	if err != nil || start != s.StartMarker {
		return errors.Newf("probe returned %q (error %v), want %q", start, err, s.StartMarker)
	}
	return nil
}

func checkProbeFails(ctx context.Context, s Subject) error {
	if start, err := s.Probe(ctx); err == nil {
		return errors.Newf("probe returned %q, want an error", start)
	}
	return nil
}
