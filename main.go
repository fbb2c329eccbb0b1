// Command cranberryrail routes model and application requests for organisations
// that buy token budgets in advance.
package main

import (
	"os"

	"cranberryrail/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
