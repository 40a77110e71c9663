// Command ragwortshunt is the router process of one entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"ragwortshunt.example/router/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
