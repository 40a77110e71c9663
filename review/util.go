package main

import (
	"os"
	"strconv"
)

// envInt returns a whole number of the environment, or 0.
func envInt(name string) int {
	n, _ := strconv.Atoi(os.Getenv(name))
	return n
}
