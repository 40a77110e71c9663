package slopes

import (
	"fmt"
	"io"
	"math"
)

// point is a figure y measured at the size x.
type point struct{ x, y float64 }

// line is a least-squares fit y = intercept + slope*x.
type line struct {
	slope, intercept float64
	residual         float64 // root mean square error, in the unit of y
}

// series is one figure measured at several sizes.
type series struct {
	name      string
	mechanism string // functions or data that cause the cost
	x, y      string // units of the size and of the figure
	points    []point
}

// fitLine returns the least-squares line through the points. If the points have
// fewer than two different sizes, the slope is 0.
func fitLine(points []point) line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	var l line
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		l.intercept = (sy - l.slope*sx) / n
	}
	var sum float64
	for _, p := range points {
		sum += math.Pow(p.y-l.intercept-l.slope*p.x, 2)
	}
	if n > 0 {
		l.residual = math.Sqrt(sum / n)
	}
	return l
}

// write prints the points of a series and the fitted line.
func (s series) write(w io.Writer) error {
	l := fitLine(s.points)
	if _, err := fmt.Fprintf(w, "%s\n  by: %s\n", s.name, s.mechanism); err != nil {
		return err
	}
	for _, p := range s.points {
		if _, err := fmt.Fprintf(w, "  %10.6g %-14s %12.5g %s\n", p.x, s.x, p.y, s.y); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "  fit: %.5g + %.5g per %s; residual %.3g %s\n\n", l.intercept, l.slope, s.x, l.residual, s.y)
	return err
}
