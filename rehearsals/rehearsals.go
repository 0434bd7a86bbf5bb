// Package rehearsals embeds the days that ship with the program.
package rehearsals

import "embed"

// Days holds the days as HCL files.
//
//go:embed *.hcl
var Days embed.FS

// Settings holds the files in the folder settings that days name: dispatchers' settings and bases.
//
//go:embed settings/*.hcl
var Settings embed.FS
