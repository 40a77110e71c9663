// Command ragwortctl lets operators check, compare and apply the table, create API
// keys and query the routers.
package main

import (
	"context"
	"os"
	"os/signal"

	"ragwortshunt.example/ctl/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := operator.Run(ctx, os.Args, operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
