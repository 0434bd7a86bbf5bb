package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/go-echarts/go-echarts/v2/components"

	"cresspass/internal/simulation/plot"
)

// writePage writes a page with plots to NAME.html in dir. It does nothing where dir is empty.
func writePage(dir, name string, all []components.Charter) error {
	if dir == "" {
		return nil
	}
	return writeFile(filepath.Join(dir, name+".html"), func(w io.Writer) error {
		return plot.Page(w, "Model: "+name, all...)
	})
}

// writeFile creates a file, and its directory where needed, and calls write to fill it.
func writeFile(path string, write func(w io.Writer) error) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
