package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/io/oper"
)

// baseOnCurrent is the value of --based-on that selects the version in force.
const baseOnCurrent = -1

// publisher publishes changes and waits until they are in force at all instances.
type publisher struct {
	*client
	wait    bool
	timeout time.Duration
	id      string
}

// publishResult is the result of an accepted change.
type publishResult struct {
	Outcome conf.Outcome `json:"outcome"`
	// InForce and Waiting are the instances that have and have not confirmed the version; empty with --wait=false.
	InForce []string `json:"in_force,omitempty"`
	Waiting []string `json:"waiting,omitempty"`
}

func (a *App) newPublisher(sub *flaggy.Subcommand) *publisher {
	p := &publisher{client: a.newClient(sub), wait: true, timeout: waitTimeout}
	sub.Bool(&p.wait, "w", "wait", "Wait until every instance confirms the version; --wait=false returns at once.")
	sub.Duration(&p.timeout, "", "wait-timeout", "Maximum time to wait for the confirmations, such as 10s.")
	sub.String(&p.id, "", "id", "ID of the change; retry with the same ID when the outcome is unknown.")
	return p
}

func (a *App) publish() command {
	var path string
	var basedOn int64 = baseOnCurrent
	sub := newSubcommand("publish", "publish the template of an organisation",
		"publish claims.toml", "publish claims.toml --based-on 17 --wait=false")
	sub.AddPositionalValue(&path, "FILE", 1, true, "Template in TOML.")
	sub.Int64(&basedOn, "b", "based-on", "Version that the file is based on; 0 for a new organisation, -1 for the version in force.")
	p := a.newPublisher(sub)
	return command{sub, func(ctx context.Context) error {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read template file; check its path and permissions: %w", err)
		}
		t, err := conf.Parse(data)
		if err != nil {
			return a.printFaults(err)
		}
		c := oper.Change{Organisation: t.Organisation, BasedOn: basedOn, Template: string(data)}
		if basedOn == baseOnCurrent {
			if c.BasedOn, err = p.versionInForce(ctx, t.Organisation); err != nil {
				return err
			}
		}
		return p.send(ctx, c)
	}}
}

// versionInForce returns the version in force, or 0 for an organisation without a template.
func (p *publisher) versionInForce(ctx context.Context, organisation string) (int64, error) {
	now, err := p.template(ctx, organisation)
	var unknown *UnknownOrganisationError
	if errors.As(err, &unknown) {
		return 0, nil
	}
	return now.Version, err
}

// send publishes a change, waits for it unless --wait=false is set, and prints the result.
func (p *publisher) send(ctx context.Context, c oper.Change) error {
	c.ID, c.By = p.id, p.app.Getenv("USER")
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	var result publishResult
	err := p.call(ctx, http.MethodPost, "/v1/changes", c, &result.Outcome)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Detail.Code == codes.VersionConflict.Number {
		return p.conflictError(ctx, refused, c)
	}
	if err != nil {
		return fmt.Errorf("publish; if the outcome is unknown, retry with --id %s --based-on %d: %w", c.ID, c.BasedOn, err)
	}
	if !p.json {
		p.app.printf("accepted: version %d\n", result.Outcome.Version)
	}
	if p.wait {
		result.InForce, result.Waiting = p.awaitInForce(ctx, result.Outcome.Version)
	}
	if err := p.print(result); err != nil {
		return err
	}
	if len(result.Waiting) > 0 {
		return &UnconfirmedError{Version: result.Outcome.Version, Waiting: result.Waiting}
	}
	return nil
}

func (p *publisher) print(result publishResult) error {
	switch n := len(result.InForce); {
	case p.json:
		return p.app.printJSON(result)
	case p.wait:
		p.app.printf("in force at %d of %d instances\n", n, n+len(result.Waiting))
	}
	return nil
}

// ConflictError reports that the template was changed since the version that the change is based on.
type ConflictError struct {
	Refused *RefusedError
	// Version is the version in force, or 0 when there is none; Diff lists the differences between it and the refused
	// template.
	Version int64
	Diff    []string
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	text := e.Refused.Error()
	if e.Version == 0 {
		return text + "\nno template is in force; base the change on the version given in the refusal"
	}
	text += fmt.Sprintf("\ndifferences from version %d, which is in force, to the refused change:", e.Version)
	return strings.Join(append([]string{text}, e.Diff...), "\n  ")
}

// Unwrap returns the refusal of the change.
func (e *ConflictError) Unwrap() error { return e.Refused }

// conflictError returns a *ConflictError that compares the refused change with the template in force.
func (p *publisher) conflictError(ctx context.Context, refused *RefusedError, c oper.Change) error {
	e := &ConflictError{Refused: refused}
	now, err := p.template(ctx, c.Organisation)
	var unknown *UnknownOrganisationError
	switch {
	case errors.As(err, &unknown):
		return e
	case err != nil:
		return fmt.Errorf("%w; compare with the template in force: %w", refused, err)
	}
	e.Version = now.Version
	e.Diff, err = diff(now.Template, c.Template)
	if err != nil {
		return fmt.Errorf("%w; compare with the template in force: %w", refused, err)
	}
	return e
}
