package config

import (
	"regexp"
	"slices"

	"cresspass"
)

// MatchBlock gives a class, a tenant, or both to statements that fit all of its conditions. A statement gets
// its class from the first fitting block that names a class, and its tenant from the first that names a
// tenant.
type MatchBlock struct {
	Class       string `hcl:"class,optional"`
	User        string `hcl:"user,optional"`
	Database    string `hcl:"database,optional"`
	Application string `hcl:"application_name,optional"`
	Pattern     string `hcl:"pattern,optional"`
	Tenant      string `hcl:"tenant,optional"`
}

// MatchRule is a checked MatchBlock. An empty condition fits every statement.
type MatchRule struct {
	Class, User, Database, Application, Tenant string
	Pattern                                    *regexp.Regexp // of the statement's text; nil: any text fits
}

// applyClassNames checks the classes of statements that no match block fits. It must run after applyClasses.
func (v *validator) applyClassNames(cfg *Config, f *File) {
	cfg.DefaultClass, cfg.WriteClass = f.DefaultClass, f.WriteClass
	cfg.DescribeClass = orDefault(f.DescribeClass, f.DefaultClass)
	effects := effectsByClass(cfg)
	for _, named := range []struct{ attribute, class string }{{"default_class", cfg.DefaultClass},
		{"write_class", cfg.WriteClass}, {"describe_class", cfg.DescribeClass}} {
		if _, ok := effects[named.class]; named.class != "" && !ok {
			v.errorf(fileScope, named.attribute, "there is no class %q", named.class)
		}
	}
	if cfg.WriteClass != "" && effects[cfg.WriteClass] == cresspass.Idempotent {
		v.errorf(fileScope, "write_class", "class %q is safe to repeat; statements that write are not",
			cfg.WriteClass)
	}
	if effects[cfg.DescribeClass] != cresspass.Idempotent {
		v.errorf(fileScope, "describe_class", "class %q is not safe to repeat", cfg.DescribeClass)
	}
}

// applyMatches checks the match blocks. It must run after applyClasses and applyTenants.
func (v *validator) applyMatches(cfg *Config, blocks []MatchBlock) {
	effects := effectsByClass(cfg)
	tenants := map[string]bool{}
	for _, t := range cfg.Module.Tenants {
		tenants[t.Name] = true
	}
	for i, b := range blocks {
		in := scope{"match", i}
		if _, ok := effects[b.Class]; b.Class != "" && !ok {
			v.errorf(in, "class", "there is no class %q", b.Class)
		}
		if b.Class == "" && b.Tenant == "" {
			v.errorf(in, "class", "a match block must name a class, a tenant, or both")
		}
		if b.Tenant != "" && !tenants[b.Tenant] {
			v.errorf(in, "tenant", "there is no tenant %q", b.Tenant)
		}
		rule := MatchRule{Class: b.Class, User: b.User, Database: b.Database, Application: b.Application,
			Tenant: b.Tenant}
		if b.Pattern != "" {
			var err error
			if rule.Pattern, err = regexp.Compile(b.Pattern); err != nil {
				v.errorf(in, "pattern", "%v", err)
			}
		}
		cfg.Matches = append(cfg.Matches, rule)
	}
}

func effectsByClass(cfg *Config) map[string]cresspass.Effect {
	effects := map[string]cresspass.Effect{}
	for _, c := range cfg.Module.Classes {
		effects[c.Name] = c.Effect
	}
	return effects
}

func equalMatches(a, b []MatchRule) bool {
	return slices.EqualFunc(a, b, func(x, y MatchRule) bool {
		px, py := x.Pattern, y.Pattern
		x.Pattern, y.Pattern = nil, nil
		return x == y && (px == nil) == (py == nil) && (px == nil || px.String() == py.String())
	})
}
