package table_test

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed is the seed for the generated tables. It makes test runs reproducible. The
// flag -rapid.seed overrides it.
const rapidSeed = "1"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
