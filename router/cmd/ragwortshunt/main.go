// Command ragwortshunt runs the router on one entry host. Exit codes are listed in
// package command.
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
