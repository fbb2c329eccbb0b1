package agent

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// silentLogger returns a logger that drops everything.
func silentLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
