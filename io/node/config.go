package node

import (
	"sync/atomic"
	"time"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
)

// activeConfig is the configuration in force, computed once for each change and read without a lock.
type activeConfig struct {
	version   int64
	templates []conf.PublishedTemplate
	// byKeyHash maps the hex SHA-256 of a caller's key to the template of its organisation.
	byKeyHash map[string]conf.Template
	// objectives is keyed by organisation, and policies by budget key.
	objectives map[string]conf.Objectives
	policies   map[string]ledger.Policy
}

// configStore holds the configuration in force.
type configStore struct{ active atomic.Pointer[activeConfig] }

// apply computes the configuration of a fold and puts it in force. It reports false, and changes nothing, if the
// version is not higher than the one in force.
func (c *configStore) apply(f *conf.Fold) bool {
	if previous := c.active.Load(); previous != nil && f.Version <= previous.version {
		return false
	}
	next := &activeConfig{
		version: f.Version, templates: f.All(), byKeyHash: map[string]conf.Template{},
		objectives: map[string]conf.Objectives{}, policies: map[string]ledger.Policy{},
	}
	for _, p := range next.templates {
		next.objectives[p.Template.Organisation] = p.Template.Objectives
		for _, key := range p.Template.KeysSHA256 {
			next.byKeyHash[key] = p.Template
		}
		for _, b := range p.Template.Budgets {
			next.policies[ledger.BudgetKey(p.Template.Organisation, b.Name)] = policyOf(p.Template.Allowance)
		}
	}
	c.active.Store(next)
	return true
}

// load returns the configuration in force; it is empty before the first change.
func (c *configStore) load() *activeConfig {
	if f := c.active.Load(); f != nil {
		return f
	}
	return &activeConfig{}
}

// policyOf converts the allowance of a template to an allowance policy.
func policyOf(a conf.Allowance) ledger.Policy {
	return ledger.Policy{
		Kind: ledger.PolicyKind(a.Policy), Cover: time.Duration(a.CoverSeconds) * time.Second,
		ChunkTokens: a.ChunkTokens, StrandRatio: a.StrandRatio,
	}
}

// ConfigVersion returns the version of the configuration in force.
func (n *Node) ConfigVersion() int64 { return n.config.load().version }
