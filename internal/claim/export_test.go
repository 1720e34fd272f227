package claim

import (
	"flag"
	"os"
	"testing"
)

// Default seed and number of checks of the property tests; flags override them.
const (
	propertySeed   = "4"
	propertyChecks = "5000"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Encode returns a record as the value of a row. It panics on an error.
func Encode(r Record) []byte {
	value, err := r.encode()
	if err != nil {
		panic(err)
	}
	return value
}
