package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"cranberryrail/core/conf"
	"cranberryrail/io/oper"
)

func (a *App) topUp() command {
	t := oper.TopUp{Budget: conf.MainBudget}
	var tokens string
	sub := newSubcommand("topup", "add paid tokens to a budget",
		"topup ndukwe 5000000", "topup ndukwe 5000000 --budget claims --id invoice-2031")
	sub.AddPositionalValue(&t.Organisation, "ORG", 1, true, "Organisation.")
	sub.AddPositionalValue(&tokens, "TOKENS", 2, true, "Number of tokens.")
	sub.String(&t.Budget, "b", "budget", "Budget.")
	sub.String(&t.ID, "", "id", "Id of the top-up, which is counted once however often it is sent; made when absent.")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var err error
		if t.Tokens, err = strconv.ParseInt(tokens, 10, 64); err != nil || t.Tokens <= 0 {
			return &UsageError{Problem: fmt.Sprintf("TOKENS %q is no positive whole number", tokens), Path: []string{sub.Name}}
		}
		if t.ID == "" {
			t.ID = uuid.NewString()
		}
		var reply oper.TopUpReply
		if err := c.call(ctx, http.MethodPost, "/v1/top_ups", t, &reply); err != nil {
			return fmt.Errorf("top-up %s; to repeat it, give --id %s: %w", t.ID, t.ID, err)
		}
		return c.printTopUp(t.ID, reply)
	}}
}

func (c *client) printTopUp(id string, reply oper.TopUpReply) error {
	if c.json {
		return c.app.printJSON(struct {
			ID string `json:"id"`
			oper.TopUpReply
		}{id, reply})
	}
	if reply.Repeated {
		c.app.printf("top-up %s: accepted before and counted once: %s has its %d tokens\n", id, reply.Budget, reply.Tokens)
		return nil
	}
	c.app.printf("top-up %s: %s has %d tokens more\n", id, reply.Budget, reply.Tokens)
	return nil
}
