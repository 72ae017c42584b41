package enginetest

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// wantCallError makes the subject's call and returns an error unless the call fails
// with the mark want.
func wantCallError(ctx context.Context, s Subject, want error) error {
	answer, err := s.Do(ctx, s.Call())
	if err == nil {
		err = answer.Close()
	}
	return wantMark("call", err, want)
}

func checkNotSent(ctx context.Context, s Subject) error {
	return wantCallError(ctx, s, engine.ErrNotSent)
}

func checkEndedContext(ctx context.Context, s Subject) error {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if err := wantCallError(ended, s, engine.ErrNotSent); err != nil {
		return err
	}
	if n := len(s.Received()); n != 0 {
		return errors.Newf("target received %d calls, want none", n)
	}
	return nil
}

func checkFenced(ctx context.Context, s Subject) error {
	return wantCallError(ctx, s, engine.ErrFenced)
}

func checkClosedBeforeHeader(ctx context.Context, s Subject) error {
	if err := wantCallError(ctx, s, engine.ErrTruncated); err != nil {
		return err
	}
	_, err := singleCall(s)
	return err
}

// wantReadError reads the subject's answer and returns an error unless the read, and
// each further one, fails with the mark want.
func wantReadError(ctx context.Context, s Subject, want error) error {
	return withAnswer(ctx, s, func(answer engine.Answer) error {
		body, _, err := readAnswer(ctx, answer)
		if errors.Is(err, io.EOF) {
			return errors.Newf("answer ended with EOF after the body %q, want an error", body)
		}
		if err := wantMark("read", err, want); err != nil {
			return err
		}
		if !strings.HasPrefix(s.Want.Body, body) {
			return errors.Newf("body before the error is %q, want a prefix of %q", body, s.Want.Body)
		}
		_, err = answer.Next(ctx)
		return wantMark("read after the error", err, want)
	})
}

func checkClosedInBody(ctx context.Context, s Subject) error {
	return wantReadError(ctx, s, engine.ErrTruncated)
}

func checkStalledBeforeHeader(ctx context.Context, s Subject) error {
	return wantCallError(ctx, s, engine.ErrStalled)
}

func checkStalledInBody(ctx context.Context, s Subject) error {
	return wantReadError(ctx, s, engine.ErrStalled)
}

func checkAfterStall(ctx context.Context, s Subject) error {
	if err := wantReadError(ctx, s, engine.ErrStalled); err != nil {
		return errors.Wrap(err, "first call")
	}
	return errors.Wrap(checkCompleteAnswer(ctx, s), "second call")
}

func checkClose(ctx context.Context, s Subject) error {
	readNothing := func(engine.Answer) error { return nil }
	if err := withAnswer(ctx, s, readNothing); err != nil {
		return err
	}
	select {
	case <-s.CallCancelled:
		return nil
	case <-ctx.Done():
		return errors.New("target has not noticed the cancellation of the call")
	}
}

func checkReadCancelled(ctx context.Context, s Subject) error {
	return withAnswer(ctx, s, func(answer engine.Answer) error {
		cancellable, cancel := context.WithCancel(ctx)
		defer cancel()
		go cancel()
		_, _, err := readAnswer(cancellable, answer)
		return wantMark("read", err, engine.ErrTruncated)
	})
}

func checkCallCancelled(ctx context.Context, s Subject) error {
	cancellable, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-s.CallReceived
		cancel()
	}()
	return wantCallError(cancellable, s, engine.ErrTruncated)
}
