package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/roster"
	"cranberryrail/core/shard"
)

const (
	// anyLocalAddr listens on a free port of the loopback address.
	anyLocalAddr = "127.0.0.1:0"
	// registerTimeout bounds the registration of a fake target.
	registerTimeout = 5 * time.Second
	// registerInterval is the time between two attempts to register.
	registerInterval = 100 * time.Millisecond
)

// printListening prints the line which reports that a fake accepts connections.
func (a *App) printListening(addr string) { a.printf("listening on %s\n", addr) }

func (a *App) newLogger() zerolog.Logger { return zerolog.New(a.Stderr).With().Timestamp().Logger() }

// fakeTarget is a fake target and its entry in the platform's list.
type fakeTarget struct {
	app         *App
	listen      string
	registerURL string
	entry       roster.Target
}

func (a *App) newFakeTarget(sub *flaggy.Subcommand, kind roster.Kind, id string) *fakeTarget {
	f := &fakeTarget{app: a, listen: anyLocalAddr, entry: roster.Target{ID: id, Kind: kind, State: roster.Live}}
	sub.String(&f.listen, "l", "listen", "Address to listen on; port 0 selects a free port.")
	sub.String(&f.entry.ID, "", "id", "ID in the platform's list.")
	sub.String(&f.entry.Zone, "z", "zone", "Availability zone in the platform's list.")
	sub.String(&f.registerURL, "r", "register", "URL of the fake platform to register this target with.")
	return f
}

// serve runs the fake target until the context ends, registers it and prints its address. addr waits until the
// target listens and returns an empty string when listening failed.
func (f *fakeTarget) serve(ctx context.Context, run func(context.Context) error, addr func() string) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return run(ctx) })
	g.Go(func() error {
		f.entry.Addr = addr()
		if f.entry.Addr == "" {
			return nil
		}
		if f.registerURL != "" {
			if err := f.registerTarget(ctx); err != nil {
				return fmt.Errorf("register %s; check that --register is the URL of a fake platform: %w", f.entry.ID, err)
			}
		}
		f.app.printListening(f.entry.Addr)
		return nil
	})
	return g.Wait()
}

// registerTarget adds the fake target to the platform's list.
func (f *fakeTarget) registerTarget(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var load roster.Load
	data, err := sendRequest(ctx, http.MethodGet, "http://"+f.entry.Addr+"/v1/load", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return err
	}
	f.entry.Incarnation = load.Incarnation
	body, err := json.Marshal(f.entry)
	if err != nil {
		return err
	}
	to := strings.TrimRight(f.registerURL, "/") + "/control/targets/" + url.PathEscape(f.entry.ID)
	// Retry, because the fake platform may still be starting.
	var refused error
	err = shard.PollUntil(ctx, registerInterval, func() (bool, error) {
		_, refused = sendRequest(ctx, http.MethodPut, to, body)
		return refused == nil, nil
	})
	if err != nil {
		return refused
	}
	return nil
}

// sendRequest sends a request and returns the response body; a status other than 2xx is an error.
func sendRequest(ctx context.Context, method, to string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err == nil && resp.StatusCode/100 != 2 {
		err = errors.New(method + " " + to + ": " + resp.Status)
	}
	return data, err
}
