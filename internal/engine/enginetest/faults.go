package enginetest

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// wantNoAnswer makes the subject's call and returns an error unless it fails
// with the mark want.
func wantNoAnswer(ctx context.Context, s Subject, want error) error {
	answer, err := s.Do(ctx, s.Call())
	if err == nil {
		err = answer.Close()
	}
	return wantMark("call", err, want)
}

func checkNotSent(ctx context.Context, s Subject) error {
	return wantNoAnswer(ctx, s, engine.ErrNotSent)
}

func checkEndedContext(ctx context.Context, s Subject) error {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if err := wantNoAnswer(ended, s, engine.ErrNotSent); err != nil {
		return err
	}
	if n := len(s.Received()); n != 0 {
		return errors.Newf("target received %d calls, want none", n)
	}
	return nil
}

func checkFenced(ctx context.Context, s Subject) error {
	return wantNoAnswer(ctx, s, engine.ErrFenced)
}

func checkCutHead(ctx context.Context, s Subject) error {
	if err := wantNoAnswer(ctx, s, engine.ErrTruncated); err != nil {
		return err
	}
	_, err := receivedOnce(s)
	return err
}

// wantBroken reads the subject's answer and returns an error unless it breaks
// with the mark want, for good.
func wantBroken(ctx context.Context, s Subject, want error) error {
	return do(ctx, s, func(answer engine.Answer) error {
		body, _, err := read(ctx, answer)
		if errors.Is(err, io.EOF) {
			return errors.Newf("answer counts as whole with the body %q", body)
		}
		if err := wantMark("read", err, want); err != nil {
			return err
		}
		if !strings.HasPrefix(s.Want.Body, body) {
			return errors.Newf("body before the break is %q, want a start of %q", body, s.Want.Body)
		}
		_, err = answer.Next(ctx)
		return wantMark("read after the break", err, want)
	})
}

func checkCutBody(ctx context.Context, s Subject) error {
	return wantBroken(ctx, s, engine.ErrTruncated)
}

func checkStalledHead(ctx context.Context, s Subject) error {
	return wantNoAnswer(ctx, s, engine.ErrStalled)
}

func checkStalledBody(ctx context.Context, s Subject) error {
	return wantBroken(ctx, s, engine.ErrStalled)
}

func checkAfterStall(ctx context.Context, s Subject) error {
	if err := wantBroken(ctx, s, engine.ErrStalled); err != nil {
		return errors.Wrap(err, "first call")
	}
	return errors.Wrap(checkWhole(ctx, s), "second call")
}

func checkClose(ctx context.Context, s Subject) error {
	unread := func(engine.Answer) error { return nil }
	if err := do(ctx, s, unread); err != nil {
		return err
	}
	select {
	case <-s.Cancelled:
		return nil
	case <-ctx.Done():
		return errors.New("target has not seen the end of the call")
	}
}

func checkReadCancelled(ctx context.Context, s Subject) error {
	return do(ctx, s, func(answer engine.Answer) error {
		reading, cancel := context.WithCancel(ctx)
		defer cancel()
		go cancel()
		_, _, err := read(reading, answer)
		return wantMark("read", err, engine.ErrTruncated)
	})
}

func checkCallCancelled(ctx context.Context, s Subject) error {
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-s.Taken
		cancel()
	}()
	return wantNoAnswer(calling, s, engine.ErrTruncated)
}
