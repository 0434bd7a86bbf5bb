package main

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/lipgloss"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal"
)

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// statusLogInterval is the shortest time between two log lines.
const statusLogInterval = 5 * time.Second

// statusLogger returns an observer that logs the progress of a day.
func statusLogger(log *slog.Logger) func(rehearsal.Status) {
	var last time.Duration
	return func(s rehearsal.Status) {
		if s.At-last < statusLogInterval {
			return
		}
		last = s.At
		enginesUp, threads := 0, 0.0
		for _, e := range s.Engines {
			if e.Up {
				enginesUp++
			}
			threads += e.Threads
		}
		var faults []string
		for _, t := range s.Faults {
			faults = append(faults, t.Kind)
		}
		log.Info("rehearsal progress", "day", s.Day.Name, "at", s.At.Round(time.Second),
			"engines_up", enginesUp, "threads", threads, "faults", strings.Join(faults, " "))
	}
}

// watchInTerminal shows a day in the terminal. showStatus replaces what is shown; stopView ends the view and
// waits until it has ended.
func watchInTerminal(d *rehearsal.Day) (showStatus func(rehearsal.Status), stopView func()) {
	program := tea.NewProgram(&dayView{status: rehearsal.Status{Day: d}}, tea.WithInput(nil),
		tea.WithoutSignalHandler())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = program.Run() // the day is played even if the view fails
	}()
	showStatus = func(s rehearsal.Status) { program.Send(s) }
	stopView = func() {
		program.Quit()
		<-done
	}
	return showStatus, stopView
}

// dayView is the tea.Model that shows a day in the terminal.
type dayView struct{ status rehearsal.Status }

// Init implements tea.Model; there is nothing to start.
func (v *dayView) Init() tea.Cmd { return nil }

// Update implements tea.Model: it stores the next status.
func (v *dayView) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	if s, ok := m.(rehearsal.Status); ok {
		v.status = s
	}
	return v, nil
}

// Styles of the view.
var (
	headingStyle = lipgloss.NewStyle().Bold(true)
	upStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warningStyle = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	downStyle    = lipgloss.NewStyle().Foreground(lipgloss.Color("1"))
)

// An engine's load bar is loadBarWidth characters wide; the bar is full at fullLoadThreads threads per core.
const (
	loadBarWidth    = 30
	fullLoadThreads = 2
)

// View implements tea.Model: it renders the last status.
func (v *dayView) View() string {
	s := &v.status
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %v of %v\n\n", headingStyle.Render(s.Day.Name), s.At.Round(time.Second),
		s.Day.Length)
	for i, e := range s.Engines {
		viewEngine(&b, i, e)
	}
	for i, up := range s.Up {
		state := upStyle.Render("up")
		if !up {
			state = downStyle.Render("down")
		}
		fmt.Fprintf(&b, "dispatcher %d %s  ", i, state)
	}
	b.WriteString("\n\n")
	for _, class := range slices.Sorted(maps.Keys(s.Counts)) {
		n := s.Counts[class]
		fmt.Fprintf(&b, "%-12s served %6d  refused %5d  failed %5d  gave up %5d\n", class,
			n[rehearsal.Served], n[rehearsal.Rejected], n[rehearsal.Failed], n[rehearsal.Abandoned])
	}
	for _, t := range s.Faults {
		until := (t.At + t.For).Round(time.Second)
		fmt.Fprintf(&b, "%s engines %v until %v\n", warningStyle.Render(t.Kind), t.Engines, until)
	}
	b.WriteString("rules are judged at the end, from the sockets\n")
	return b.String()
}

// viewEngine writes the line of one engine: its state and its load bar.
func viewEngine(b *strings.Builder, number int, e rehearsal.EngineStatus) {
	style, state := upStyle, e.State
	switch {
	case e.Fallen:
		style, state = downStyle, "fell over"
	case !e.Up:
		style, state = downStyle, "down"
	case e.State != string(eds.StateActive):
		style = warningStyle
	}
	filled := min(int(e.Threads/e.Cores/fullLoadThreads*float64(loadBarWidth)), loadBarWidth)
	fmt.Fprintf(b, "engine %d %s %s%s %.0f threads on %.0f cores\n", number,
		style.Render(fmt.Sprintf("%-9s", state)), strings.Repeat("#", filled),
		strings.Repeat(".", loadBarWidth-filled), e.Threads, e.Cores)
}
