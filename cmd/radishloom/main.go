// Command radishloom is the operator's command-line tool for a radishloom fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/radishloom/radishloom/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Env{})
	stop()
	os.Exit(code)
}
