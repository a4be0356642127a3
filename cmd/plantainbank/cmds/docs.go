package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// version is the version of this build.
const version = "0.1.0"

func versionCommand() command {
	return command{
		path: "version",
		help: "Print the version.",
		run: func(env *env) error {
			fmt.Fprintln(env.out, "plantainbank", version)
			return nil
		},
	}
}

func docsCommand() command {
	var dir string
	return command{
		path: "docs",
		help: "Write the command pages to a directory.",
		args: []argument{{"folder", "The directory.", &dir}},
		run:  func(*env) error { return writeDocs(dir) },
	}
}

func writeDocs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, text := range Pages() {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Pages returns the text of each command page and of their index, keyed by file name.
func Pages() map[string]string {
	out := map[string]string{}
	var index strings.Builder
	index.WriteString("# Commands\n\nExit codes: 0 done, 1 failed, 2 wrong command line or file, 3 refused, 4 outcome unknown.\n\n")
	for _, c := range table() {
		file := strings.ReplaceAll(c.path, " ", "-") + ".md"
		out[file] = page(c)
		fmt.Fprintf(&index, "- [%s](%s): %s\n", c.path, file, c.help)
	}
	out["README.md"] = index.String()
	return out
}

func page(c command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# plantainbank %s\n\n%s\n\n    plantainbank %s", c.path, c.help, c.path)
	for _, a := range c.args {
		fmt.Fprintf(&b, " <%s>", a.name)
	}
	b.WriteString("\n")
	if c.detail != "" {
		fmt.Fprintf(&b, "\n%s\n", c.detail)
	}
	if len(c.args)+len(c.options) > 0 {
		b.WriteString("\n| argument | meaning |\n| --- | --- |\n")
	}
	for _, a := range c.args {
		fmt.Fprintf(&b, "| `<%s>` | %s |\n", a.name, a.help)
	}
	for _, o := range c.options {
		fmt.Fprintf(&b, "| `--%s` | %s |\n", o.name, o.help)
	}
	return b.String()
}
