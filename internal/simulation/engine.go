package simulation

import (
	"fmt"

	"cresspass"
)

func engineID(i int) cresspass.EngineID {
	return cresspass.EngineID(fmt.Sprintf("10.0.%d.%d:5432", i/200, i%200))
}
