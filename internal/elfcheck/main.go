// Command elfcheck fails if a program has no ELF interpreter. Such a program is linked statically, so a
// library that the platform preloads would not be loaded into it, and nothing would report that.
package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: elfcheck PROGRAM")
		os.Exit(2)
	}
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintf(os.Stderr, "elfcheck: %s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}

// check returns an error unless the program at path has an ELF interpreter.
func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			return nil
		}
	}
	return errors.New("no ELF interpreter: the program is linked statically")
}
