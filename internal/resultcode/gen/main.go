// Command gen writes docs/result-codes.md from internal/resultcode. Run it at
// the root of the repository: go run ./internal/resultcode/gen
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/radishloom/radishloom/internal/resultcode"
)

const page = "docs/result-codes.md"

const head = `# Result codes

<!-- Made by "go run ./internal/resultcode/gen" from internal/resultcode. Do not edit. -->

Every refused request carries its number in the response header ` + "`" + resultcode.Header + "`" + `, and the number
and the name in the JSON error body. ` + "`radishloom explain NUMBER`" + ` prints the same text. Numbers are never reused.

**Request** says what is known about its execution: ` + "`not_run`" + ` means that no endpoint executed any part of
it, ` + "`may_have_run`" + ` that it was sent and its fate is unknown, ` + "`ran`" + ` that an endpoint executed it. **Retry**
says whether sending the same request again helps.
`

func groups() map[resultcode.Code]string {
	return map[resultcode.Code]string{
		1: "Caller errors",
		2: "Limits",
		3: "Claims (idempotency keys)",
		4: "Endpoints",
		5: "Fleet state",
		6: "Operators",
	}
}

func main() {
	if err := os.WriteFile(page, []byte(render()), 0o644); err != nil {
		fmt.Fprintf(os.Stderr, "gen: %v\n", err)
		os.Exit(1)
	}
}

// render returns the whole page.
func render() string {
	var b strings.Builder
	b.WriteString(head)
	group := resultcode.Code(0)
	for _, info := range resultcode.All() {
		if info.Code/1000 != group {
			group = info.Code / 1000
			fmt.Fprintf(&b, "\n## %dxxx %s\n\n", group, groups()[group])
			b.WriteString("| code | name | HTTP | request | retry | meaning |\n|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s | %s |\n",
			info.Code, info.Name, info.Status, info.Run, info.Retry, info.Text)
	}
	return b.String()
}
