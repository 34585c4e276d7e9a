// Package chart draws what the emulator measured as SVG: lines with bands, intervals, and times of trouble that are shaded.
package chart

import (
	"bytes"
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Line is one line of a panel; Low and High are a band around it, or nil. A figure that is no number breaks nothing: it is
// left out.
type Line struct {
	Name       string
	X, Y       []float64
	Low, High  []float64
	PointsOnly bool // the points alone
}

// Shade is a part of the x axis that stands out, and why.
type Shade struct {
	From, To float64
	Name     string
}

// Panel is one plot.
type Panel struct {
	Title, XLabel, YLabel string
	Lines                 []Line
	Shades                []Shade
	YMin, YMax            float64 // of the y axis; both 0: as the lines are
	Diagonal              bool    // a thin line where y is x
}

// Row is an interval of a list of them.
type Row struct {
	Name            string
	Mean, Low, High float64
}

// Size of a panel on the page.
const (
	width  = 22 * vg.Centimeter
	height = 7 * vg.Centimeter
	rowFor = 0.5 * vg.Centimeter
	ground = 2 * vg.Centimeter // of a list of intervals, beyond its rows
)

// SVG draws panels, one below the other with a common width.
func SVG(panels ...Panel) ([]byte, error) {
	plots := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		drawn, err := p.plot()
		if err != nil {
			return nil, fmt.Errorf("chart %s: %w", p.Title, err)
		}
		plots[i] = []*plot.Plot{drawn}
	}
	return paint(plots, height*vg.Length(len(panels)))
}

func paint(plots [][]*plot.Plot, high vg.Length) ([]byte, error) {
	canvas := vgsvg.New(width, high)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: 2 * vg.Millimeter}
	parts := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		plots[i][0].Draw(parts[i][0])
	}
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// points leaves out what is no number.
func points(x, y []float64) (out plotter.XYs) {
	for i := range min(len(x), len(y)) {
		if !math.IsNaN(x[i]+y[i]) && !math.IsInf(x[i]+y[i], 0) {
			out = append(out, plotter.XY{X: x[i], Y: y[i]})
		}
	}
	return out
}

// faint is a colour that lets others through.
func faint(c color.Color, a uint8) color.Color {
	r, g, b, _ := c.RGBA()
	return color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), a}
}

func (p Panel) plot() (*plot.Plot, error) {
	l := plot.New()
	l.Title.Text, l.X.Label.Text, l.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	l.Legend.Top, l.Legend.Left = true, false
	low, high := p.YMin, p.YMax
	if low == 0 && high == 0 {
		low, high = math.Inf(1), math.Inf(-1)
		for _, n := range p.Lines {
			for _, ys := range [][]float64{n.Y, n.Low, n.High} {
				for _, y := range ys {
					if !math.IsNaN(y) && !math.IsInf(y, 0) {
						low, high = min(low, y), max(high, y)
					}
				}
			}
		}
		if low > high {
			low, high = 0, 1
		}
		low = min(0, low)
	}
	for i, s := range p.Shades {
		box, err := plotter.NewPolygon(plotter.XYs{{X: s.From, Y: low}, {X: s.To, Y: low}, {X: s.To, Y: high}, {X: s.From, Y: high}})
		if err != nil {
			return nil, err
		}
		box.Color, box.LineStyle.Width = faint(plotutil.SoftColors[i%len(plotutil.SoftColors)], 60), 0
		l.Add(box)
		text, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: s.From, Y: low + (high-low)*(0.02+0.07*float64(i%4))}}, Labels: []string{s.Name}})
		if err != nil {
			return nil, err
		}
		l.Add(text)
	}
	if p.Diagonal {
		f := plotter.NewFunction(func(x float64) float64 { return x })
		f.Color, f.Dashes = color.Gray{160}, []vg.Length{2, 2}
		l.Add(f)
	}
	for i, n := range p.Lines {
		if err := n.add(l, plotutil.Color(i), plotutil.Shape(i)); err != nil {
			return nil, fmt.Errorf("%s: %w", n.Name, err)
		}
	}
	l.Y.Min, l.Y.Max = low, high
	return l, nil
}

func (n Line) add(l *plot.Plot, c color.Color, shape draw.GlyphDrawer) error {
	if n.Low != nil {
		up, down := points(n.X, n.High), points(n.X, n.Low)
		for i := len(down) - 1; i >= 0; i-- {
			up = append(up, down[i])
		}
		if len(up) > 2 {
			band, err := plotter.NewPolygon(up)
			if err != nil {
				return err
			}
			band.Color, band.LineStyle.Width = faint(c, 50), 0
			l.Add(band)
		}
	}
	xy := points(n.X, n.Y)
	if len(xy) == 0 {
		return nil
	}
	line, dots, err := plotter.NewLinePoints(xy)
	if err != nil {
		return err
	}
	line.Color, dots.Color, dots.Shape, dots.Radius = c, c, shape, vg.Points(1.5)
	switch {
	case n.PointsOnly:
		l.Add(dots)
		l.Legend.Add(n.Name, dots)
	case len(xy) > 60:
		l.Add(line)
		l.Legend.Add(n.Name, line)
	default:
		l.Add(line, dots)
		l.Legend.Add(n.Name, line, dots)
	}
	return nil
}

// Intervals draws rows of intervals, the first at the top, with a line at zero.
func Intervals(title, x string, rows []Row) ([]byte, error) {
	l := plot.New()
	l.Title.Text, l.X.Label.Text = title, x
	var names []string
	var xy plotter.XYs
	var errs plotter.XErrors
	for i := len(rows) - 1; i >= 0; i-- {
		r := rows[i]
		names = append(names, r.Name)
		xy = append(xy, plotter.XY{X: r.Mean, Y: float64(len(xy))})
		errs = append(errs, struct{ Low, High float64 }{r.Mean - r.Low, r.High - r.Mean})
	}
	if len(xy) == 0 {
		return nil, fmt.Errorf("chart %s: no rows", title)
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(xy)) - 0.5}})
	if err != nil {
		return nil, err
	}
	zero.Color = color.Gray{160}
	dots, err := plotter.NewScatter(xy)
	if err != nil {
		return nil, err
	}
	bars, err := plotter.NewXErrorBars(struct {
		plotter.XYs
		plotter.XErrors
	}{xy, errs})
	if err != nil {
		return nil, err
	}
	l.Add(zero, bars, dots)
	l.NominalY(names...)
	return paint([][]*plot.Plot{{l}}, ground+rowFor*vg.Length(len(rows)))
}
