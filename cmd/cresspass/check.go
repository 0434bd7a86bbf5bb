package main

import (
	"fmt"

	"cresspass/internal/config"
)

// checkCmd verifies a settings file.
type checkCmd struct {
	Config string `short:"c" required:"" help:"Settings file."`
}

// Run prints that the settings are good, or returns an error that describes what is wrong and where.
func (c checkCmd) Run() error {
	if _, err := config.Load(c.Config); err != nil {
		return err
	}
	fmt.Println(c.Config + ": good")
	return nil
}
