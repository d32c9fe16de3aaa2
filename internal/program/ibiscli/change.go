package ibiscli

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// changeAttempts is how often a change is sent whose answer was lost; its id makes sure that it is made once.
const changeAttempts = 3

// sendChange sends a change, again with the same id where it is not known whether it was made.
func sendChange(ctx context.Context, client *ibisoperator.Client, change ibisoperator.Change) (ibisoperator.ChangeResult, error) {
	change.ID = uuid.NewString()
	return untilKnown(func() (ibisoperator.ChangeResult, error) { return client.Change(ctx, change) })
}

// sendUndo sends an undo, again with the same id where it is not known whether it was made.
func sendUndo(ctx context.Context, client *ibisoperator.Client, undo ibisoperator.Undo) (ibisoperator.ChangeResult, error) {
	undo.ID = uuid.NewString()
	return untilKnown(func() (ibisoperator.ChangeResult, error) { return client.Undo(ctx, undo) })
}

func untilKnown(send func() (ibisoperator.ChangeResult, error)) (ibisoperator.ChangeResult, error) {
	var result ibisoperator.ChangeResult
	var err error
	for range changeAttempts {
		result, err = send()
		if !errors.Is(err, ibisoperator.ErrUnavailable) {
			break
		}
	}
	return result, operatorError(err)
}
