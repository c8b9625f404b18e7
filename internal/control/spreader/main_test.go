package spreader

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
