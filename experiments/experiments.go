// Package experiments embeds the experiments of the simulation that ship with the program.
package experiments

import "embed"

// Files holds the experiments as HCL files. Its folder days holds the days that only experiments play.
//
//go:embed *.hcl days/*.hcl
var Files embed.FS
