package load

// Point is one measurement of y at x.
type Point struct{ X, Y float64 }

// FitLine returns the slope and the value at zero of the least-squares line through points with at least two different X.
// With fewer, the slope is zero.
func FitLine(points []Point) (slope, intercept float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	n := float64(len(points))
	if n == 0 {
		return 0, 0
	}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		slope = (n*sumXY - sumX*sumY) / spread
	}
	return slope, (sumY - slope*sumX) / n
}
