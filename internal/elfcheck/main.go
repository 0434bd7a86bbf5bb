// Command elfcheck fails where a program has no ELF interpreter: it is then linked statically, and a
// library that the platform preloads would silently not be in it.
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

func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it is only read
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			return nil
		}
	}
	return errors.New("no ELF interpreter: it is linked statically")
}
