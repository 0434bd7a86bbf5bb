package main

import (
	"fmt"
	"log/slog"
	"os"
	"sort"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/lipgloss"

	"cresspass/internal/rehearsal"
)

// isTerminal reports whether a file is one.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// statusLogger shows a day as log lines, one every five seconds.
func statusLogger(log *slog.Logger) func(rehearsal.Status) {
	var last time.Duration
	return func(s rehearsal.Status) {
		if s.At-last < 5*time.Second {
			return
		}
		last = s.At
		up, threads := 0, 0.0
		for _, e := range s.Engines {
			if e.Up {
				up++
			}
			threads += e.Threads
		}
		var kinds []string
		for _, t := range s.Faults {
			kinds = append(kinds, t.Kind)
		}
		log.Info("day", "name", s.Day.Name, "at", s.At.Round(time.Second), "engines up", up, "threads",
			threads,
			"troubles", strings.Join(kinds, " "))
	}
}

// watchInTerminal shows a day in the terminal. stop ends it.
func watchInTerminal(d *rehearsal.Day) (look func(rehearsal.Status), stop func()) {
	p := tea.NewProgram(&dayView{status: rehearsal.Status{Day: d}}, tea.WithInput(nil),
		tea.WithoutSignalHandler())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run()
	}()
	return func(s rehearsal.Status) { p.Send(s) }, func() {
		p.Quit()
		<-done
	}
}

// dayView is the terminal's picture of a day.
type dayView struct{ status rehearsal.Status }

func (v *dayView) Init() tea.Cmd { return nil }

func (v *dayView) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	if s, ok := m.(rehearsal.Status); ok {
		v.status = s
	}
	return v, nil
}

var (
	headingStyle = lipgloss.NewStyle().Bold(true)
	upStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warningStyle = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	downStyle    = lipgloss.NewStyle().Foreground(lipgloss.Color("1"))
)

func (v *dayView) View() string {
	s := &v.status
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"%s  %v of %v\n\n",
		headingStyle.Render(s.Day.Name),
		s.At.Round(time.Second),
		s.Day.Length,
	)
	for i, e := range s.Engines {
		style, state := upStyle, e.State
		switch {
		case e.Fallen:
			style, state = downStyle, "fell over"
		case !e.Up:
			style, state = downStyle, "down"
		case e.State != "on":
			style = warningStyle
		}
		width := 30
		full := min(int(e.Threads/e.Cores/2*float64(width)), width)
		fmt.Fprintf(&b, "engine %d %s %s%s %.0f threads on %.0f cores\n", i, style.Render(fmt.Sprintf("%-9s",
			state)),
			strings.Repeat("#", full), strings.Repeat(".", width-full), e.Threads, e.Cores)
	}
	for i, up := range s.Up {
		state := upStyle.Render("up")
		if !up {
			state = downStyle.Render("down")
		}
		fmt.Fprintf(&b, "dispatcher %d %s  ", i, state)
	}
	b.WriteString("\n\n")
	var names []string
	for name := range s.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c := s.Counts[name]
		fmt.Fprintf(&b, "%-12s served %6d  refused %5d  failed %5d  gave up %5d\n", name, c[rehearsal.Served],
			c[rehearsal.Rejected], c[rehearsal.Failed], c[rehearsal.Abandoned])
	}
	for _, t := range s.Faults {
		fmt.Fprintf(&b, "%s engines %v until %v\n", warningStyle.Render(t.Kind), t.Engines, (t.At +
			t.For).Round(time.Second))
	}
	b.WriteString("rules are judged at the end, from the sockets\n")
	return b.String()
}
