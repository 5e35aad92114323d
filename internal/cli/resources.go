package cli

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/document"
)

// resource is a named part of the configuration document.
type resource interface {
	proto.Message
	GetName() string
}

// find returns a copy of the resource with the name, or fallback if there is none.
func find[R resource](resources []R, name string, fallback R) R {
	for _, r := range resources {
		if r.GetName() == name {
			return proto.CloneOf(r)
		}
	}
	return fallback
}

// setArgs holds the options and arguments of a set command.
type setArgs struct {
	command
	waitOption
	Args struct {
		Name   string   `positional-arg-name:"NAME"`
		Fields []string `positional-arg-name:"FIELD=VALUE" description:"fields of api/state/v1/config.proto; lists are separated by commas"`
	} `positional-args:"yes" required:"yes"`
}

func (c *setArgs) setFields(m proto.Message) error {
	for _, assignment := range c.Args.Fields {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok || field == "name" {
			return usagef("%s: allowed: FIELD=VALUE with a field other than name", assignment)
		}
		if err := document.Set(m, field, value); err != nil {
			return usagef("%v", err)
		}
	}
	return nil
}

// set changes fields of a resource. The change is based on the version that it
// reads first. pick adds a copy of the resource, or a new one, to the upserts and
// returns it.
func (c *setArgs) set(ctx context.Context, a *app, pick func(from, to *statev1.Config) proto.Message) error {
	config, err := a.config(ctx, 0)
	if err != nil {
		return err
	}
	upserts := &statev1.Config{}
	m := pick(config, upserts)
	if err := c.setFields(m); err != nil {
		return err
	}
	return a.apply(ctx, &statev1.ConfigChange{
		BaseVersion: config.GetVersion(),
		Upserts:     upserts,
		Comment:     comment("set", string(m.ProtoReflect().Descriptor().Name()), c.Args.Name, c.Args.Fields...),
	}, c.waitOption)
}

// comment returns the history comment for the change of one resource.
func comment(verb, kind, name string, fields ...string) string {
	const maxComment = 200
	s := strings.Join(append([]string{verb, strings.ToLower(kind), name}, fields...), " ")
	return s[:min(len(s), maxComment)]
}

// removeArgs holds the options and arguments of a remove command.
type removeArgs struct {
	command
	waitOption
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

func (c *removeArgs) remove(ctx context.Context, a *app, kind statev1.ResourceKind) error {
	config, err := a.config(ctx, 0)
	if err != nil {
		return err
	}
	return a.apply(ctx, &statev1.ConfigChange{
		BaseVersion: config.GetVersion(),
		Removed:     []*statev1.ResourceName{{Kind: kind, Name: c.Args.Name}},
		Comment:     comment("remove", strings.TrimPrefix(kind.String(), "RESOURCE_KIND_"), c.Args.Name),
	}, c.waitOption)
}

type profileSet struct{ setArgs }

func (c *profileSet) run(ctx context.Context, a *app) error {
	return c.set(ctx, a, func(from, to *statev1.Config) proto.Message {
		p := find(from.GetProfiles(), c.Args.Name, &statev1.Profile{Name: c.Args.Name})
		to.Profiles = []*statev1.Profile{p}
		return p
	})
}

type routeSet struct{ setArgs }

func (c *routeSet) run(ctx context.Context, a *app) error {
	return c.set(ctx, a, func(from, to *statev1.Config) proto.Message {
		r := find(from.GetRoutes(), c.Args.Name, &statev1.Route{Name: c.Args.Name})
		to.Routes = []*statev1.Route{r}
		return r
	})
}

type customerSet struct{ setArgs }

func (c *customerSet) run(ctx context.Context, a *app) error {
	return c.set(ctx, a, func(from, to *statev1.Config) proto.Message {
		customer := find(from.GetCustomers(), c.Args.Name, &statev1.Customer{Name: c.Args.Name})
		to.Customers = []*statev1.Customer{customer}
		return customer
	})
}

type profileRemove struct{ removeArgs }

func (c *profileRemove) run(ctx context.Context, a *app) error {
	return c.remove(ctx, a, statev1.ResourceKind_RESOURCE_KIND_PROFILE)
}

type routeRemove struct{ removeArgs }

func (c *routeRemove) run(ctx context.Context, a *app) error {
	return c.remove(ctx, a, statev1.ResourceKind_RESOURCE_KIND_ROUTE)
}

type customerRemove struct{ removeArgs }

func (c *customerRemove) run(ctx context.Context, a *app) error {
	return c.remove(ctx, a, statev1.ResourceKind_RESOURCE_KIND_CUSTOMER)
}

type profileList struct{ command }

func (profileList) run(ctx context.Context, a *app) error {
	config, err := a.config(ctx, 0)
	if err != nil {
		return err
	}
	return a.print(&statev1.Config{Version: config.GetVersion(), Profiles: config.GetProfiles()}, func() [][]string {
		rows := [][]string{row("PROFILE", "PRIORITY", "FIRST TOKEN MS", "TOKEN GAP MS", "DEADLINE MS", "SILENCE MS", "RESERVED %")}
		for _, p := range config.GetProfiles() {
			rows = append(rows, row(p.GetName(), p.GetPriority(), p.GetFirstTokenMs(), p.GetTokenGapMs(),
				p.GetDeadlineMs(), p.GetSilenceMs(), p.GetReservedSharePercent()))
		}
		return rows
	})
}

type routeList struct{ command }

func (routeList) run(ctx context.Context, a *app) error {
	config, err := a.config(ctx, 0)
	if err != nil {
		return err
	}
	return a.print(&statev1.Config{Version: config.GetVersion(), Routes: config.GetRoutes()}, func() [][]string {
		rows := [][]string{row("ROUTE", "PATH", "MODEL", "POOL", "PROFILE", "OPEN", "IDEMPOTENT")}
		for _, r := range config.GetRoutes() {
			rows = append(rows, row(r.GetName(), r.GetPathPrefix(), r.GetModel(), r.GetPool(), r.GetProfile(),
				r.GetOpen(), r.GetIdempotent()))
		}
		return rows
	})
}

type customerList struct{ command }

func (customerList) run(ctx context.Context, a *app) error {
	config, err := a.config(ctx, 0)
	if err != nil {
		return err
	}
	return a.print(&statev1.Config{Version: config.GetVersion(), Customers: config.GetCustomers()}, func() [][]string {
		rows := [][]string{row("CUSTOMER", "TOKENS/S", "BURST", "WEIGHT", "MAX OPEN")}
		for _, c := range config.GetCustomers() {
			rows = append(rows, row(c.GetName(), c.GetRateTokensPerSecond(), c.GetBurstTokens(), c.GetWeight(), c.GetMaxOpenRequests()))
		}
		return rows
	})
}
