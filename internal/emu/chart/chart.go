// Package chart draws results of the emulator as SVG: line charts with confidence bands and shaded spans, and charts of
// intervals.
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

// Line is one line of a panel. Low and High bound a band around it; both are nil without a band. Points that are NaN or
// infinite are left out.
type Line struct {
	Name       string
	X, Y       []float64
	Low, High  []float64
	PointsOnly bool // draw the points without a line between them
}

// Shade is a labeled span of the x axis with a shaded background.
type Shade struct {
	From, To float64
	Name     string
}

// Panel is one plot of an image.
type Panel struct {
	Title, XLabel, YLabel string
	Lines                 []Line
	Shades                []Shade
	YMin, YMax            float64 // ends of the y axis; if both are 0, they follow from the lines
	Diagonal              bool    // draw a thin dashed line where y equals x
}

// Row is one interval of an interval chart.
type Row struct {
	Name            string
	Mean, Low, High float64
}

// Sizes of the drawings.
const (
	panelWidth          = 22 * vg.Centimeter
	panelHeight         = 7 * vg.Centimeter
	rowHeight           = 0.5 * vg.Centimeter
	intervalsBaseHeight = 2 * vg.Centimeter // height of an interval chart without its rows
)

// SVG draws panels of equal width, one below the other.
func SVG(panels ...Panel) ([]byte, error) {
	plots := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		drawn, err := p.plot()
		if err != nil {
			return nil, fmt.Errorf("chart %s: %w", p.Title, err)
		}
		plots[i] = []*plot.Plot{drawn}
	}
	return render(plots, panelHeight*vg.Length(len(panels)))
}

// render draws plots, one per row, on an image of the given height.
func render(plots [][]*plot.Plot, height vg.Length) ([]byte, error) {
	canvas := vgsvg.New(panelWidth, height)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: 2 * vg.Millimeter}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// finitePoints pairs coordinates and leaves out pairs that are NaN or infinite.
func finitePoints(x, y []float64) (out plotter.XYs) {
	for i := range min(len(x), len(y)) {
		if !math.IsNaN(x[i]+y[i]) && !math.IsInf(x[i]+y[i], 0) {
			out = append(out, plotter.XY{X: x[i], Y: y[i]})
		}
	}
	return out
}

// translucent returns the color with an alpha value, where 255 is opaque.
func translucent(c color.Color, alpha uint8) color.Color {
	r, g, b, _ := c.RGBA()
	return color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), alpha}
}

// plot draws the panel: shades, the diagonal, then the lines.
func (p Panel) plot() (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	chart.Legend.Top, chart.Legend.Left = true, false
	low, high := p.YMin, p.YMax
	if low == 0 && high == 0 {
		low, high = math.Inf(1), math.Inf(-1)
		for _, line := range p.Lines {
			for _, ys := range [][]float64{line.Y, line.Low, line.High} {
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
		box, err := plotter.NewPolygon(plotter.XYs{{X: s.From, Y: low}, {X: s.To, Y: low}, {X: s.To, Y: high},
			{X: s.From, Y: high}})
		if err != nil {
			return nil, err
		}
		box.Color, box.LineStyle.Width = translucent(plotutil.SoftColors[i%len(plotutil.SoftColors)], 60), 0
		chart.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{
			{X: s.From, Y: low + (high-low)*(0.02+0.07*float64(i%4))}}, Labels: []string{s.Name}})
		if err != nil {
			return nil, err
		}
		chart.Add(label)
	}
	if p.Diagonal {
		diagonal := plotter.NewFunction(func(x float64) float64 { return x })
		diagonal.Color, diagonal.Dashes = color.Gray{160}, []vg.Length{2, 2}
		chart.Add(diagonal)
	}
	for i, line := range p.Lines {
		if err := line.add(chart, plotutil.Color(i), plotutil.Shape(i)); err != nil {
			return nil, fmt.Errorf("%s: %w", line.Name, err)
		}
	}
	chart.Y.Min, chart.Y.Max = low, high
	return chart, nil
}

// add draws the line with its band and its entry in the legend. Lines of more than 60 points have no point markers.
func (l Line) add(chart *plot.Plot, lineColor color.Color, shape draw.GlyphDrawer) error {
	if l.Low != nil {
		outline, lower := finitePoints(l.X, l.High), finitePoints(l.X, l.Low)
		for i := len(lower) - 1; i >= 0; i-- {
			outline = append(outline, lower[i])
		}
		if len(outline) > 2 {
			band, err := plotter.NewPolygon(outline)
			if err != nil {
				return err
			}
			band.Color, band.LineStyle.Width = translucent(lineColor, 50), 0
			chart.Add(band)
		}
	}
	xy := finitePoints(l.X, l.Y)
	if len(xy) == 0 {
		return nil
	}
	line, markers, err := plotter.NewLinePoints(xy)
	if err != nil {
		return err
	}
	line.Color, markers.Color, markers.Shape, markers.Radius = lineColor, lineColor, shape, vg.Points(1.5)
	switch {
	case l.PointsOnly:
		chart.Add(markers)
		chart.Legend.Add(l.Name, markers)
	case len(xy) > 60:
		chart.Add(line)
		chart.Legend.Add(l.Name, line)
	default:
		chart.Add(line, markers)
		chart.Legend.Add(l.Name, line, markers)
	}
	return nil
}

// Intervals draws a chart of intervals, with the first row at the top and a vertical line at zero.
func Intervals(title, xLabel string, rows []Row) ([]byte, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text = title, xLabel
	var names []string
	var means plotter.XYs
	var margins plotter.XErrors
	for i := len(rows) - 1; i >= 0; i-- {
		r := rows[i]
		names = append(names, r.Name)
		means = append(means, plotter.XY{X: r.Mean, Y: float64(len(means))})
		margins = append(margins, struct{ Low, High float64 }{r.Mean - r.Low, r.High - r.Mean})
	}
	if len(means) == 0 {
		return nil, fmt.Errorf("chart %s: no rows", title)
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(means)) - 0.5}})
	if err != nil {
		return nil, err
	}
	zero.Color = color.Gray{160}
	markers, err := plotter.NewScatter(means)
	if err != nil {
		return nil, err
	}
	bars, err := plotter.NewXErrorBars(struct {
		plotter.XYs
		plotter.XErrors
	}{means, margins})
	if err != nil {
		return nil, err
	}
	chart.Add(zero, bars, markers)
	chart.NominalY(names...)
	return render([][]*plot.Plot{{chart}}, intervalsBaseHeight+rowHeight*vg.Length(len(rows)))
}
