package anvilcapacity

import "math"

// Fit is the line through measured values by least squares.
type Fit struct {
	Slope     float64
	Intercept float64
	// RSquared is the share of the variance that the line explains, from 0 to 1.
	RSquared float64
	// Deviation is the largest distance of a value from the line, relative to
	// the largest value.
	Deviation float64
}

// FitLine fits a line to values at sizes. Both have the same length of at least
// two, and not all sizes are equal.
func FitLine(sizes, values []float64) Fit {
	meanX, meanY := mean(sizes), mean(values)
	var xx, xy, yy float64
	for i, x := range sizes {
		dx, dy := x-meanX, values[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	f := Fit{
		Slope:    xy / xx,
		RSquared: 1,
	}
	f.Intercept = meanY - f.Slope*meanX
	if yy > 0 {
		f.RSquared = xy * xy / (xx * yy)
	}
	largest, distance := 0.0, 0.0
	for i, x := range sizes {
		largest = max(largest, math.Abs(values[i]))
		distance = max(distance, math.Abs(values[i]-f.At(x)))
	}
	if distance > 0 {
		f.Deviation = distance / largest
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
