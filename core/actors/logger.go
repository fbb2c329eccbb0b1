package actors

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// discardLogger returns a logger that discards all records.
func discardLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
