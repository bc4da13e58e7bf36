package main

import (
	"fmt"
	"strings"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// chart draws state charts.
func chart(args []string) int {
	flags := flagSet("chart", "[-format mermaid|dot] [NAME...]")
	format := flags.String("format", "mermaid", "mermaid or dot")
	asJSON := flags.Bool("json", false, "print the chart itself")
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
		return misuse(flags, "-format must be mermaid or dot")
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
