package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"cranberryrail/core/conf"
	"cranberryrail/io/oper"
)

const (
	// keyEnv is the environment variable with the operators' key.
	keyEnv = "CRANBERRYRAIL_OPERATOR_KEY"
	// callTimeout is the longest time for one request to an instance. It is longer than an
	// instance waits for a record to be read back.
	callTimeout = 40 * time.Second
	// maxReplyBytes is the size of the largest reply that is read.
	maxReplyBytes = 64 << 20
)

// client calls the operators' edge of one instance.
type client struct {
	app      *App
	instance string
	key      string
	json     bool
}

// RefusedError is a refusal by an instance.
type RefusedError struct {
	Operation string
	Detail    oper.ErrorDetail
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	d := e.Detail
	text := fmt.Sprintf("%s: refused: %d %s (%s): %s", e.Operation, d.Code, d.Name, d.Run, d.Message)
	if d.RetryAfterMS > 0 {
		text += fmt.Sprintf("; try again in %v", time.Duration(d.RetryAfterMS)*time.Millisecond)
	}
	return text
}

// newClient returns a client whose fields are set by the flags of the subcommand.
func (a *App) newClient(sub *flaggy.Subcommand) *client {
	c := &client{app: a, instance: "http://127.0.0.1:9000"}
	sub.String(&c.instance, "i", "instance", "URL of the operators' listener of any instance.")
	sub.String(&c.key, "k", "key", "Operators' key; better in the environment as "+keyEnv+".")
	sub.Bool(&c.json, "", "json", "Print JSON.")
	return c
}

// call sends in as JSON, unless it is nil, and decodes the reply into out.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	operation := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return fmt.Errorf("%s; name the instance by --instance http://ADDR:PORT: %w", operation, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s; is the instance up, and is --instance its operators' address?: %w", operation, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%s: read the reply; try again: %w", operation, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(operation, resp.Status, body)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(out); err != nil {
		return fmt.Errorf("%s: the reply is no JSON of the expected shape; is --instance the operators' address?: %w", operation, err)
	}
	return nil
}

func (c *client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.instance, "/")+path, body)
	if err != nil {
		return nil, err
	}
	key := c.key
	if key == "" {
		key = c.app.Getenv(keyEnv)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// decodeRefusal reads the numbered decodeRefusal in a reply.
func decodeRefusal(operation, status string, body []byte) error {
	var e oper.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == 0 {
		return fmt.Errorf("%s: the reply is %s without a code; is --instance the operators' address?", operation, status)
	}
	return &RefusedError{Operation: operation, Detail: e.Error}
}

// UnknownOrganisationError tells that an organisation has no template in force.
type UnknownOrganisationError struct{ Organisation string }

// Error implements the error interface.
func (e *UnknownOrganisationError) Error() string {
	return fmt.Sprintf("organisation %q has no template in force; see %s templates", e.Organisation, name)
}

func (c *client) templates(ctx context.Context) ([]conf.Published, error) {
	var all []conf.Published
	err := c.call(ctx, http.MethodGet, "/v1/templates", nil, &all)
	return all, err
}

// template returns the template in force of one organisation.
func (c *client) template(ctx context.Context, organisation string) (conf.Published, error) {
	all, err := c.templates(ctx)
	if err != nil {
		return conf.Published{}, err
	}
	for _, p := range all {
		if p.Template.Organisation == organisation {
			return p, nil
		}
	}
	return conf.Published{}, &UnknownOrganisationError{Organisation: organisation}
}
