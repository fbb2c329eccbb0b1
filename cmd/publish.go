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

// baseOnCurrent stands for the version that is in force now.
const baseOnCurrent = -1

// publisher sends changes and waits until they are in force.
type publisher struct {
	*client
	wait    bool
	timeout time.Duration
	id      string
}

// publishResult is what became of an accepted change.
type publishResult struct {
	Outcome conf.Outcome `json:"outcome"`
	// InForce and Waiting are empty when nothing was waited for.
	InForce []string `json:"in_force,omitempty"`
	Waiting []string `json:"waiting,omitempty"`
}

func (a *App) newPublisher(sub *flaggy.Subcommand) *publisher {
	p := &publisher{client: a.newClient(sub), wait: true, timeout: waitTimeout}
	sub.Bool(&p.wait, "w", "wait", "Wait until every instance confirms the version; --wait=false does not.")
	sub.Duration(&p.timeout, "", "wait-timeout", "Longest time to wait.")
	sub.String(&p.id, "", "id", "Id of the change; repeat it with the same id when the outcome is not known.")
	return p
}

func (a *App) publish() command {
	var path string
	var basedOn int64 = baseOnCurrent
	sub := newSubcommand("publish", "publish the template of an organisation",
		"publish claims.toml", "publish claims.toml --based-on 17 --wait=false")
	sub.AddPositionalValue(&path, "FILE", 1, true, "Template in TOML.")
	sub.Int64(&basedOn, "b", "based-on", "Version that the file was made from; 0 for a new organisation, -1 for the one now in force.")
	p := a.newPublisher(sub)
	return command{sub, func(ctx context.Context) error {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read template; name a file that can be read: %w", err)
		}
		t, err := conf.Parse(data)
		if err != nil {
			return a.printFaults(err)
		}
		c := oper.Change{Organisation: t.Organisation, BasedOn: basedOn, Template: string(data)}
		if basedOn == baseOnCurrent {
			if c.BasedOn, err = p.currentVersion(ctx, t.Organisation); err != nil {
				return err
			}
		}
		return p.send(ctx, c)
	}}
}

// currentVersion returns the version in force, or 0 for a new organisation.
func (p *publisher) currentVersion(ctx context.Context, organisation string) (int64, error) {
	now, err := p.template(ctx, organisation)
	var unknown *UnknownOrganisationError
	if errors.As(err, &unknown) {
		return 0, nil
	}
	return now.Version, err
}

// send publishes a change and prints what became of it.
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
		return fmt.Errorf("publish; when the outcome is not known, repeat it with --id %s --based-on %d: %w", c.ID, c.BasedOn, err)
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

// ConflictError tells that the template was changed by another operator.
type ConflictError struct {
	Refused *RefusedError
	// Version is the version in force, and Diff the lines from it to the refused template.
	Version int64
	Diff    []string
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	text := e.Refused.Error()
	if e.Version == 0 {
		return text + "\nno template is in force; base the change on the version that the refusal names"
	}
	text += fmt.Sprintf("\nfrom version %d, which is in force, to the refused change:", e.Version)
	return strings.Join(append([]string{text}, e.Diff...), "\n  ")
}

// Unwrap returns the refusal.
func (e *ConflictError) Unwrap() error { return e.Refused }

// conflictError compares the refused change with the template in force.
func (p *publisher) conflictError(ctx context.Context, refused *RefusedError, c oper.Change) error {
	e := &ConflictError{Refused: refused}
	now, err := p.template(ctx, c.Organisation)
	var unknown *UnknownOrganisationError
	switch {
	case errors.As(err, &unknown):
		return e
	case err != nil:
		return fmt.Errorf("%w; then to show what changed: %w", refused, err)
	}
	e.Version = now.Version
	e.Diff, err = diff(now.Template, c.Template)
	if err != nil {
		return fmt.Errorf("%w; then to show what changed: %w", refused, err)
	}
	return e
}
