package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

type commands struct {
	Status statusCommand `command:"status" description:"show the state of each given server"`
	VM     struct {
		List  vmList  `command:"list" description:"list the VMs"`
		Join  vmJoin  `command:"join" description:"add a control VM, or replace one"`
		Leave vmLeave `command:"leave" description:"remove a control VM"`
	} `command:"vm" description:"VMs of the fleet"`
	Endpoint struct {
		List endpointList `command:"list" description:"list the endpoints"`
	} `command:"endpoint" description:"engines and servers of plain services"`
	Model struct {
		List modelList `command:"list" description:"list the models"`
	} `command:"model" description:"models"`
	Config struct {
		Get      configGet      `command:"get" description:"print a version of the configuration"`
		Apply    configApply    `command:"apply" description:"replace the configuration by that of a file"`
		History  configHistory  `command:"history" description:"list the versions"`
		Rollback configRollback `command:"rollback" description:"make an old version the present one"`
	} `command:"config" description:"configuration document"`
	Profile struct {
		List   profileList   `command:"list" description:"list the profiles"`
		Set    profileSet    `command:"set" description:"add or change a profile"`
		Remove profileRemove `command:"remove" description:"remove a profile"`
	} `command:"profile" description:"profiles"`
	Route struct {
		List   routeList   `command:"list" description:"list the routes"`
		Set    routeSet    `command:"set" description:"add or change a route"`
		Remove routeRemove `command:"remove" description:"remove a route"`
	} `command:"route" description:"routes"`
	Customer struct {
		List   customerList   `command:"list" description:"list the customers"`
		Set    customerSet    `command:"set" description:"add or change a customer"`
		Remove customerRemove `command:"remove" description:"remove a customer"`
	} `command:"customer" description:"customers"`
	Key struct {
		Create   keyCreate   `command:"create" description:"create a key for a customer"`
		Withdraw keyWithdraw `command:"withdraw" description:"withdraw a key"`
		List     keyList     `command:"list" description:"list the keys, without secrets"`
	} `command:"key" description:"keys of customers"`
	Evacuate    evacuateCommand    `command:"evacuate" description:"send no new requests to the endpoints of a data centre"`
	Restore     restoreCommand     `command:"restore" description:"end the evacuation of a data centre"`
	Evacuations evacuationsCommand `command:"evacuations" description:"list the evacuations and those that ended"`
	Drain       drainCommand       `command:"drain" description:"stop new requests at a VM"`
	Explain     explainCommand     `command:"explain" description:"explain a result code, or where a request would go"`
}

type statusCommand struct{ command }

// quorumColumns returns the number of voters, of inactive voters and of further
// voters that may be lost. Only the leader knows them.
func quorumColumns(r *adminv1.StatusResponse) (voters, inactive, tolerable string) {
	if r.GetVoters() == 0 {
		return "-", "-", "-"
	}
	return fmt.Sprint(r.GetVoters()), fmt.Sprint(r.GetInactiveVoters()), fmt.Sprint(r.GetTolerableLosses())
}

// run calls every server, since each returns its own state.
func (statusCommand) run(ctx context.Context, a *app) error {
	rows := [][]string{row("SERVER", "VM", "LEADER", "TERM", "VERSION", "APPLIED", "READY", "LEASE", "VOTERS", "INACTIVE", "TOLERABLE", "SOFTWARE")}
	var lastErr error
	answered := 0
	var evacuated []string
	for _, s := range a.client.servers {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		r, err := s.admin.Status(attempt, &adminv1.StatusRequest{})
		cancel()
		if err != nil {
			lastErr = err
			rows = append(rows, row(s.url, "no answer: "+messageOf(err)))
			continue
		}
		answered++
		evacuated = append(evacuated, r.GetEvacuatedDataCentres()...)
		voters, inactive, tolerable := quorumColumns(r)
		rows = append(rows, row(s.url, r.GetVm(), r.GetLeaderVm(), r.GetTerm(), r.GetConfigVersion(),
			r.GetAppliedIndex(), r.GetReady(), r.GetLeaseValid(), voters, inactive, tolerable, r.GetSoftwareVersion()))
		if a.global.Output == "json" {
			if err := a.printJSON(r); err != nil {
				return err
			}
		}
	}
	if answered == 0 {
		if code, decided := decision(lastErr); decided {
			return newRefusal(code, messageOf(lastErr))
		}
		return undecided(outcome{}, lastErr)
	}
	if a.global.Output == "json" {
		return nil
	}
	return a.print(nil, func() [][]string { return append(rows, evacuatedRow(evacuated)) })
}

type vmList struct{ command }

func (vmList) run(ctx context.Context, a *app) error {
	r, _, err := call(ctx, a.client, readCall(), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ListVMsResponse, error) {
		return admin.ListVMs(ctx, &adminv1.ListVMsRequest{})
	})
	if err != nil {
		return err
	}
	return a.print(r, func() [][]string {
		rows := [][]string{row("VM", "DATA CENTRE", "LIVE", "VERSION", "CONTROL", "MEMBER", "ADDRESS")}
		for _, vm := range r.GetVms() {
			rows = append(rows, row(vm.GetName(), vm.GetDataCentre(), vm.GetLive(), vm.GetConfigVersion(),
				vm.GetControlRole(), vm.GetMemberId(), vm.GetAddress()))
		}
		return rows
	})
}

type vmJoin struct {
	command
	ID         uint64 `long:"id" required:"yes" description:"member identifier of the new control VM"`
	VM         string `long:"vm" required:"yes" description:"name of the VM"`
	Address    string `long:"address" required:"yes" value-name:"IP:PORT" description:"control address"`
	DataCentre string `long:"data-centre" required:"yes" description:"data centre of the VM"`
	Replaces   uint64 `long:"replaces" description:"member identifier that is removed once the new one votes"`
}

func (c *vmJoin) run(ctx context.Context, a *app) error {
	request := &adminv1.JoinVMRequest{
		RequestId: a.requestID,
		Member:    &statev1.Member{Id: c.ID, Vm: c.VM, Address: c.Address, DataCentre: c.DataCentre},
		Replaces:  c.Replaces,
	}
	r, _, err := call(ctx, a.client, changeCall(a.global.Timeout), func(ctx context.Context, admin adminv1.Admin) (*adminv1.MembershipResponse, error) {
		return admin.JoinVM(ctx, request)
	})
	if err != nil {
		return err
	}
	return a.printMembership(r)
}

type vmLeave struct {
	command
	Args struct {
		ID uint64 `positional-arg-name:"MEMBER-ID"`
	} `positional-args:"yes" required:"yes"`
}

func (c *vmLeave) run(ctx context.Context, a *app) error {
	request := &adminv1.LeaveVMRequest{RequestId: a.requestID, MemberId: c.Args.ID}
	r, o, err := call(ctx, a.client, changeCall(0), func(ctx context.Context, admin adminv1.Admin) (*adminv1.MembershipResponse, error) {
		return admin.LeaveVM(ctx, request)
	})
	if err != nil {
		return err
	}
	if o.uncertain && r.GetCode() == uint32(resultcode.ResourceUnknown) {
		r.Code = uint32(resultcode.OK) // an attempt whose response was lost has removed the member
	}
	return a.printMembership(r)
}

func (a *app) printMembership(r *adminv1.MembershipResponse) error {
	if r.GetCode() != uint32(resultcode.OK) {
		return newRefusal(resultcode.Code(r.GetCode()), r.GetMessage())
	}
	return a.print(r, func() [][]string {
		rows := [][]string{row("MEMBER", "VM", "DATA CENTRE", "ADDRESS", "LEARNER")}
		for _, m := range r.GetMembership().GetMembers() {
			rows = append(rows, row(m.GetId(), m.GetVm(), m.GetDataCentre(), m.GetAddress(), m.GetLearner()))
		}
		return rows
	})
}

type endpointList struct{ command }

func (endpointList) run(ctx context.Context, a *app) error {
	r, _, err := call(ctx, a.client, readCall(), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ListEndpointsResponse, error) {
		return admin.ListEndpoints(ctx, &adminv1.ListEndpointsRequest{})
	})
	if err != nil {
		return err
	}
	return a.print(r, func() [][]string {
		rows := [][]string{row("ENDPOINT", "ADDRESS", "DATA CENTRE", "POOL", "STATE", "IN FLIGHT", "MEMORY MB", "READY MODELS")}
		for _, s := range r.GetEndpoints() {
			e := s.GetEndpoint()
			memory := fmt.Sprintf("%d/%d", s.GetMemoryUsedMb(), e.GetMemoryMb())
			rows = append(rows, row(e.GetName(), e.GetAddress(), e.GetDataCentre(), e.GetPool(), s.GetState(),
				s.GetInFlight(), memory, listCell(s.GetReadyModels())))
		}
		return rows
	})
}

type modelList struct{ command }

func (modelList) run(ctx context.Context, a *app) error {
	r, _, err := call(ctx, a.client, readCall(), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ListModelsResponse, error) {
		return admin.ListModels(ctx, &adminv1.ListModelsRequest{})
	})
	if err != nil {
		return err
	}
	return a.print(r, func() [][]string {
		rows := [][]string{row("MODEL", "VERSION", "MEMORY MB", "ADAPTERS", "READY ON", "LOADING ON")}
		for _, s := range r.GetModels() {
			m := s.GetModel()
			rows = append(rows, row(m.GetName(), m.GetVersion(), m.GetMemoryMb(), len(m.GetAdapters()),
				listCell(s.GetReadyOn()), listCell(s.GetLoadingOn())))
		}
		return rows
	})
}

type drainCommand struct {
	command
	Undo bool `long:"undo" description:"accept new requests again"`
	Args struct {
		VM string `positional-arg-name:"VM"`
	} `positional-args:"yes" required:"yes"`
}

// run calls each server until the named VM responds, since a VM drains only
// itself.
func (c *drainCommand) run(ctx context.Context, a *app) error {
	var lastErr error
	for _, s := range a.client.servers {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		r, err := s.admin.Drain(attempt, &adminv1.DrainRequest{Vm: c.Args.VM, Undo: c.Undo})
		cancel()
		if err == nil {
			return a.print(r, func() [][]string {
				return [][]string{row("VM", "OPEN REQUESTS"), row(c.Args.VM, r.GetOpenRequests())}
			})
		}
		code, decided := decision(err)
		if decided && code != resultcode.ResourceUnknown {
			return newRefusal(code, messageOf(err))
		}
		if lastErr == nil || !decided {
			lastErr = err
		}
	}
	if code, decided := decision(lastErr); decided {
		return newRefusal(code, fmt.Sprintf("no given server is VM %s (%s)", c.Args.VM, messageOf(lastErr)))
	}
	return undecided(outcome{uncertain: mayHaveRun(resultcode.OK, lastErr)}, lastErr)
}

type explainCommand struct {
	command
	Args struct {
		Code string `positional-arg-name:"CODE" description:"number or name, or the word request"`
	} `positional-args:"yes" required:"yes"`
	explainOptions
}

func (*explainCommand) offline() {}

func (c *explainCommand) run(ctx context.Context, a *app) error {
	if c.Args.Code == requestWord {
		return a.explainRequest(ctx, &c.explainOptions)
	}
	if c.explainOptions != (explainOptions{}) {
		return usagef("the options describe a request: radishloom explain request --entry IP:PORT ...")
	}
	info, ok := findCode(c.Args.Code)
	if !ok {
		return &refusal{exit: ExitNotFound, text: fmt.Sprintf("no result code %q", c.Args.Code)}
	}
	fmt.Fprintf(a.env.Stdout, "%d %s\n%s\nHTTP status: %d\nrequest:     %s\nretry:       %s\n",
		uint32(info.Code), info.Name, info.Text, info.Status, info.Run, info.Retry)
	return nil
}

func findCode(s string) (resultcode.Info, bool) {
	if n, err := strconv.ParseUint(s, 10, 32); err == nil {
		return resultcode.Lookup(resultcode.Code(n))
	}
	for _, info := range resultcode.All() {
		if info.Name == strings.ToLower(s) {
			return info, true
		}
	}
	return resultcode.Info{}, false
}

// waitOption is the --wait option of the commands that change the configuration.
type waitOption struct {
	Wait time.Duration `long:"wait" default:"10s" description:"how long to wait until all live VMs have the change in force; 0s does not wait"`
}

func (w waitOption) ms() (uint32, error) {
	if w.Wait < 0 || w.Wait > time.Minute {
		return 0, usagef("--wait = %s: allowed: 0s to 1m", w.Wait)
	}
	return uint32(w.Wait / time.Millisecond), nil
}

// resultOf returns the error of a configuration change that was refused, or nil.
func resultOf(r *adminv1.ChangeResponse) error {
	if r.GetCode() == uint32(resultcode.OK) {
		return nil
	}
	return newRefusal(resultcode.Code(r.GetCode()), conflictText(r.GetMessage(), r.GetConflict()), r.GetFaults()...)
}
