package cli

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/document"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// config reads a version of the configuration; zero means the current version.
func (a *app) config(ctx context.Context, version uint64) (*statev1.Config, error) {
	r, _, err := call(ctx, a.client, readCall(), func(ctx context.Context, admin adminv1.Admin) (*adminv1.GetConfigResponse, error) {
		return admin.GetConfig(ctx, &adminv1.GetConfigRequest{Version: version})
	})
	if err != nil {
		return nil, err
	}
	if r.GetConfig() == nil {
		return &statev1.Config{}, nil
	}
	return r.GetConfig(), nil
}

// apply proposes a configuration change and prints the result.
func (a *app) apply(ctx context.Context, c *statev1.ConfigChange, wait waitOption) error {
	waitMs, err := wait.ms()
	if err != nil {
		return err
	}
	request := &adminv1.ApplyConfigRequest{RequestId: a.requestID, Change: c, WaitMs: waitMs}
	r, _, err := call(ctx, a.client, changeCall(wait.Wait), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ChangeResponse, error) {
		return admin.ApplyConfig(ctx, request)
	})
	if err != nil {
		return err
	}
	return a.printChange(r)
}

func (a *app) printChange(r *adminv1.ChangeResponse) error {
	if err := resultOf(r); err != nil {
		return err
	}
	return a.print(r, func() [][]string {
		inForce := fmt.Sprintf("%d of %d live VMs", r.GetVmsInForce(), r.GetVmsLive())
		return [][]string{row("VERSION", "IN FORCE AT"), row(r.GetVersion(), inForce)}
	})
}

type configGet struct {
	command
	Version uint64 `long:"version" description:"version to print; the present one by default"`
}

// run omits the keys, so that the output can be edited and applied: config apply
// refuses keys.
func (c *configGet) run(ctx context.Context, a *app) error {
	config, err := a.config(ctx, c.Version)
	if err != nil {
		return err
	}
	config.Keys = nil
	write := document.TOML
	if a.global.Output == "json" {
		write = document.JSON
	}
	data, err := write(config)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	if _, err := fmt.Fprintln(a.env.Stdout, string(data)); err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	return nil
}

type configApply struct {
	command
	waitOption
	Base    *uint64 `long:"base" description:"version that the file is based on; by default that of the file, or the present one"`
	Comment string  `long:"comment" description:"reason for the change"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"TOML, or JSON if it ends in .json"`
	} `positional-args:"yes" required:"yes"`
}

func (c *configApply) run(ctx context.Context, a *app) error {
	config, err := document.ReadFile(c.Args.File)
	if err != nil {
		return usagef("%v", err)
	}
	if len(config.GetKeys()) > 0 {
		return usagef("%s: keys: allowed: nothing; keys are made with radishloom key create", c.Args.File)
	}
	base, err := c.base(ctx, a, config)
	if err != nil {
		return err
	}
	config.Version = 0
	return a.apply(ctx, &statev1.ConfigChange{BaseVersion: base, Replace: config, Comment: c.Comment}, c.waitOption)
}

func (c *configApply) base(ctx context.Context, a *app, file *statev1.Config) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	if file.GetVersion() != 0 {
		return file.GetVersion(), nil
	}
	current, err := a.config(ctx, 0)
	return current.GetVersion(), err
}

type configHistory struct {
	command
	Limit uint32 `long:"limit" default:"20" description:"number of versions"`
}

func (c *configHistory) run(ctx context.Context, a *app) error {
	r, _, err := call(ctx, a.client, readCall(), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ConfigHistoryResponse, error) {
		return admin.ConfigHistory(ctx, &adminv1.ConfigHistoryRequest{Limit: c.Limit})
	})
	if err != nil {
		return err
	}
	return a.print(r, func() [][]string {
		rows := [][]string{row("VERSION", "AUTHOR", "TIME", "COMMENT", "REQUEST")}
		for _, v := range r.GetVersions() {
			rows = append(rows, versionRow(v))
		}
		return rows
	})
}

type configRollback struct {
	command
	waitOption
	Base *uint64 `long:"base" description:"version that is rolled back; the present one by default"`
	Args struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`
}

func (c *configRollback) run(ctx context.Context, a *app) error {
	waitMs, err := c.ms()
	if err != nil {
		return err
	}
	request := &adminv1.RollbackConfigRequest{RequestId: a.requestID, ToVersion: c.Args.Version, WaitMs: waitMs}
	if c.Base != nil {
		request.BaseVersion = *c.Base
	} else {
		current, err := a.config(ctx, 0)
		if err != nil {
			return err
		}
		request.BaseVersion = current.GetVersion()
	}
	r, _, err := call(ctx, a.client, changeCall(c.Wait), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ChangeResponse, error) {
		return admin.RollbackConfig(ctx, request)
	})
	if err != nil {
		return err
	}
	return a.printChange(r)
}

type keyCreate struct {
	command
	Note string `long:"note" description:"what the key is for"`
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER"`
	} `positional-args:"yes" required:"yes"`
}

func (c *keyCreate) run(ctx context.Context, a *app) error {
	request := &adminv1.CreateKeyRequest{RequestId: a.requestID, Customer: c.Args.Customer, Note: c.Note}
	r, _, err := call(ctx, a.client, changeCall(0), func(ctx context.Context, admin adminv1.Admin) (*adminv1.CreateKeyResponse, error) {
		return admin.CreateKey(ctx, request)
	})
	if err != nil {
		return err
	}
	if r.GetCode() != uint32(resultcode.OK) {
		return newRefusal(resultcode.Code(r.GetCode()), r.GetMessage())
	}
	if r.GetSecret() == "" {
		return &refusal{exit: ExitRefused, text: fmt.Sprintf("key %s: %s", r.GetKeyId(), r.GetMessage())}
	}
	return a.print(r, func() [][]string {
		return [][]string{row("KEY", "SECRET (shown once)", "VERSION"), row(r.GetKeyId(), r.GetSecret(), r.GetVersion())}
	})
}

type keyWithdraw struct {
	command
	waitOption
	Args struct {
		ID string `positional-arg-name:"KEY-ID"`
	} `positional-args:"yes" required:"yes"`
}

func (c *keyWithdraw) run(ctx context.Context, a *app) error {
	waitMs, err := c.ms()
	if err != nil {
		return err
	}
	request := &adminv1.WithdrawKeyRequest{RequestId: a.requestID, KeyId: c.Args.ID, WaitMs: waitMs}
	r, _, err := call(ctx, a.client, changeCall(c.Wait), func(ctx context.Context, admin adminv1.Admin) (*adminv1.WithdrawKeyResponse, error) {
		return admin.WithdrawKey(ctx, request)
	})
	if err != nil {
		return err
	}
	if r.GetCode() != uint32(resultcode.OK) {
		return newRefusal(resultcode.Code(r.GetCode()), r.GetMessage())
	}
	return a.print(r, func() [][]string {
		inForce := fmt.Sprintf("%d of %d live VMs", r.GetVmsInForce(), r.GetVmsLive())
		return [][]string{
			row("KEY", "VERSION", "IN FORCE AT", "EVERYWHERE WITHIN"),
			row(c.Args.ID, r.GetVersion(), inForce, fmt.Sprintf("%d ms", r.GetInForceWithinMs())),
		}
	})
}

type keyList struct{ command }

func (keyList) run(ctx context.Context, a *app) error {
	config, err := a.config(ctx, 0)
	if err != nil {
		return err
	}
	keys := &statev1.Config{Version: config.GetVersion()}
	for _, k := range config.GetKeys() {
		keys.Keys = append(keys.Keys, proto.CloneOf(k))
		keys.Keys[len(keys.Keys)-1].SecretSha256 = nil
	}
	return a.print(keys, func() [][]string {
		rows := [][]string{row("KEY", "CUSTOMER", "NOTE")}
		for _, k := range keys.GetKeys() {
			rows = append(rows, row(k.GetId(), k.GetCustomer(), k.GetNote()))
		}
		return rows
	})
}
