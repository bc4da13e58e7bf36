package main

import (
	"fmt"
	"strings"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// chart prints the named state charts, or lists the names of all charts if none
// is given.
func chart(args []string) int {
	flags := flagSet("chart", "[-format mermaid|dot] [NAME...]")
	format := flags.String("format", "mermaid", "output format: mermaid or dot")
	asJSON := flags.Bool("json", false, "print the definition of the chart as JSON")
	if code, ok := parse(flags, args); !ok {
		return code
	}
	names := flags.Args()
	if len(names) == 0 {
		fmt.Println(strings.Join(statechart.Names(), "\n"))
		return exitDone
	}
	draw := statechart.Mermaid
	switch *format {
	case "mermaid":
	case "dot":
		draw = statechart.Dot
	default:
		return usageError(flags, "-format must be mermaid or dot")
	}
	for _, name := range names {
		c, err := statechart.Load(name)
		if err != nil {
			return fail(flags, err)
		}
		if !*asJSON {
			fmt.Print(draw(c))
			continue
		}
		if err := printJSON(c); err != nil {
			return fail(flags, err)
		}
	}
	return exitDone
}
