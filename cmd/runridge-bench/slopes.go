// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math"
	"strings"

	"github.com/jessevdk/go-flags"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"runridge.example/runridge/bench/slopes"
	"runridge.example/runridge/modules/command"
)

// slopesCommand shows how the cost of a box grows with the size of the fleet.
type slopesCommand struct {
	To     float64 `long:"to" default:"400" description:"number of boxes to which the figures are extrapolated"`
	Plot   string  `long:"plot" description:"file for a plot of one figure, such as capacity.svg"`
	Figure string  `long:"figure" default:"processor %" description:"the figure to plot"`
	Args   struct {
		Entries []string `positional-arg-name:"ENTRY" required:"1" description:"journal entries with sweeps"`
	} `positional-args:"true"`
}

func addSlopes(p *flags.Parser) {
	command.Add(p, "slopes", "Show how figures grow with the fleet", "Read sweeps from the journal, fit a power law to each figure of the busiest box, and print a table.", &slopesCommand{})
}

// Execute runs the subcommand.
func (c *slopesCommand) Execute([]string) error {
	var sweeps []slopes.Sweep
	for _, path := range c.Args.Entries {
		s, err := slopes.Read(path)
		if err != nil {
			return err
		}
		c.print(s)
		sweeps = append(sweeps, s)
	}
	if c.Plot == "" {
		return nil
	}
	return c.draw(sweeps)
}

// print prints the table of one sweep.
func (c *slopesCommand) print(s slopes.Sweep) {
	fmt.Printf("\n| %s |", s.Site)
	for _, n := range s.Boxes {
		fmt.Printf(" %.0f boxes |", n)
	}
	fmt.Printf(" power | at %.0f |\n| --- |%s\n", c.To, strings.Repeat(" ---: |", len(s.Boxes)+2))
	for _, f := range s.Figures {
		fmt.Printf("| %s |", f.Name)
		for i := range s.Boxes {
			if math.IsNaN(f.Busiest[i]) {
				fmt.Print(" |")
				continue
			}
			fmt.Printf(" %g / %g |", f.Middle[i], f.Busiest[i])
		}
		if fit, ok := slopes.FitOf(s.Boxes, f.Busiest); ok {
			fmt.Printf(" %.2f | %.0f |\n", fit.Power, fit.At(c.To))
			continue
		}
		fmt.Print(" | |\n")
	}
}

// draw plots one figure of the busiest box against the number of boxes, on logarithmic
// axes.
func (c *slopesCommand) draw(sweeps []slopes.Sweep) error {
	p := plot.New()
	p.Title.Text = c.Figure + ", busiest box"
	p.X.Label.Text, p.Y.Label.Text = "boxes", c.Figure
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	var lines []any
	for _, s := range sweeps {
		for _, f := range s.Figures {
			if f.Name == c.Figure {
				lines = append(lines, s.Site, points(s, f))
			}
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("figure %q: no sweep has it", c.Figure)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	const width, height = 16 * vg.Centimeter, 10 * vg.Centimeter
	return p.Save(width, height, c.Plot)
}

// points returns the points with a value above 0; logarithmic axes can't show others.
func points(s slopes.Sweep, f slopes.Figure) plotter.XYs {
	var out plotter.XYs
	for i, n := range s.Boxes {
		if v := f.Busiest[i]; !math.IsNaN(v) && v > 0 {
			out = append(out, plotter.XY{X: n, Y: v})
		}
	}
	return out
}
