package cli

import (
	"context"
	"slices"
	"strings"
	"time"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// dataCentreArgs is the argument of the commands for one data centre.
type dataCentreArgs struct {
	Args struct {
		DataCentre string `positional-arg-name:"DATA_CENTRE"`
	} `positional-args:"yes" required:"yes"`
}

type evacuateCommand struct {
	command
	dataCentreArgs
}

func (c *evacuateCommand) run(ctx context.Context, a *app) error {
	return a.setEvacuation(ctx, c.Args.DataCentre, true)
}

type restoreCommand struct {
	command
	dataCentreArgs
}

func (c *restoreCommand) run(ctx context.Context, a *app) error {
	return a.setEvacuation(ctx, c.Args.DataCentre, false)
}

func (a *app) setEvacuation(ctx context.Context, dataCentre string, evacuated bool) error {
	request := &adminv1.SetEvacuationRequest{RequestId: a.requestID, DataCentre: dataCentre, Evacuated: evacuated}
	r, _, err := call(ctx, a.client, changeCall(0), func(ctx context.Context, admin adminv1.Admin) (*adminv1.SetEvacuationResponse, error) {
		return admin.SetEvacuation(ctx, request)
	})
	if err != nil {
		return err
	}
	if r.GetCode() != uint32(resultcode.OK) {
		return newRefusal(resultcode.Code(r.GetCode()), r.GetMessage())
	}
	return a.print(r, func() [][]string {
		return [][]string{row("DATA CENTRE", "EVACUATED", "VERSION"), row(dataCentre, evacuated, r.GetVersion())}
	})
}

type evacuationsCommand struct{ command }

func (evacuationsCommand) run(ctx context.Context, a *app) error {
	r, _, err := call(ctx, a.client, readCall(), func(ctx context.Context, admin adminv1.Admin) (*adminv1.ListEvacuationsResponse, error) {
		return admin.ListEvacuations(ctx, &adminv1.ListEvacuationsRequest{})
	})
	if err != nil {
		return err
	}
	return a.print(r, func() [][]string {
		rows := [][]string{row("DATA CENTRE", "EVACUATED", "AUTHOR", "FLEET TIME")}
		for _, e := range r.GetRecords() {
			rows = append(rows, row(e.GetDataCentre(), e.GetEvacuated(), e.GetAuthor(), time.Duration(e.GetChangedMs())*time.Millisecond))
		}
		return rows
	})
}

// evacuatedRow returns the last line of the status.
func evacuatedRow(names []string) []string {
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) == 0 {
		return row("evacuated data centres: none")
	}
	return row("evacuated data centres: " + strings.Join(names, ", "))
}
