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
	// keyEnv is the environment variable that holds the operator key.
	keyEnv = "CRANBERRYRAIL_OPERATOR_KEY"
	// callTimeout bounds one request to an instance. It exceeds the time that an instance waits to read back a
	// record that it appended to the log.
	callTimeout = 40 * time.Second
	// maxReplyBytes is the maximum response size.
	maxReplyBytes = 64 << 20
)

// client calls the operator API of one instance.
type client struct {
	app      *App
	instance string
	key      string
	json     bool
}

// RefusedError reports a request that an instance refused with a numbered code.
type RefusedError struct {
	Operation string
	Detail    oper.ErrorDetail
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	d := e.Detail
	text := fmt.Sprintf("%s: refused: %d %s (%s): %s", e.Operation, d.Code, d.Name, d.Run, d.Message)
	if d.RetryAfterMS > 0 {
		text += fmt.Sprintf("; retry after %v", time.Duration(d.RetryAfterMS)*time.Millisecond)
	}
	return text
}

// newClient adds the client flags to a subcommand and returns the client that they configure.
func (a *App) newClient(sub *flaggy.Subcommand) *client {
	c := &client{app: a, instance: "http://127.0.0.1:9000"}
	sub.String(&c.instance, "i", "instance", "URL of the operator API of any instance.")
	sub.String(&c.key, "k", "key", "Operator key; prefer the environment variable "+keyEnv+".")
	sub.Bool(&c.json, "", "json", "Print JSON.")
	return c
}

// call sends in as JSON, unless it is nil, and decodes the JSON response into out.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	operation := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return fmt.Errorf("%s: create request; set --instance to http://ADDR:PORT: %w", operation, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s: check that the instance is running and that --instance is its operator address: %w", operation, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%s: read response; retry: %w", operation, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(operation, resp.Status, body)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(out); err != nil {
		return fmt.Errorf("%s: decode response; check that --instance is the operator address: %w", operation, err)
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

// decodeRefusal returns the refusal in a response as a *RefusedError.
func decodeRefusal(operation, status string, body []byte) error {
	var e oper.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == 0 {
		return fmt.Errorf("%s: the response with status %s has no result code; check that --instance is the operator address", operation, status)
	}
	return &RefusedError{Operation: operation, Detail: e.Error}
}

// UnknownOrganisationError reports that an organisation has no template in force.
type UnknownOrganisationError struct{ Organisation string }

// Error implements the error interface.
func (e *UnknownOrganisationError) Error() string {
	return fmt.Sprintf("organisation %q has no template in force; see %s templates", e.Organisation, name)
}

func (c *client) templates(ctx context.Context) ([]conf.PublishedTemplate, error) {
	var all []conf.PublishedTemplate
	err := c.call(ctx, http.MethodGet, "/v1/templates", nil, &all)
	return all, err
}

// template returns the template in force for an organisation, or an *UnknownOrganisationError.
func (c *client) template(ctx context.Context, organisation string) (conf.PublishedTemplate, error) {
	all, err := c.templates(ctx)
	if err != nil {
		return conf.PublishedTemplate{}, err
	}
	for _, p := range all {
		if p.Template.Organisation == organisation {
			return p, nil
		}
	}
	return conf.PublishedTemplate{}, &UnknownOrganisationError{Organisation: organisation}
}
