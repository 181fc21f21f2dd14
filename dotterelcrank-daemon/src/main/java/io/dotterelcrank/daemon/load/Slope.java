package io.dotterelcrank.daemon.load;

import java.util.List;
import java.util.Locale;

/**
 * A straight line fitted to measured values. Immutable.
 *
 * @param name the measured quantity
 * @param unit unit of the values
 * @param per unit of the sizes, such as {@code link}
 * @param points measured sizes and values
 * @param slope increase of the value per unit of size
 * @param intercept value at size 0
 * @param residual largest deviation of a value from the line, as a fraction of the
 * largest value
 */
public record Slope(String name, String unit, String per, List<Point> points, double slope, double intercept,
		double residual) {

	/**
	 * Fits a line by least squares.
	 * @param name the measured quantity
	 * @param unit unit of the values
	 * @param per unit of the sizes, such as {@code link}
	 * @param points measured sizes and values, at least two
	 * @return the fitted line
	 */
	public static Slope fit(String name, String unit, String per, List<Point> points) {
		double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
		double covariance = 0;
		double variance = 0;
		for (Point point : points) {
			covariance += (point.size() - meanSize) * (point.value() - meanValue);
			variance += (point.size() - meanSize) * (point.size() - meanSize);
		}
		double slope = covariance / variance;
		double intercept = meanValue - slope * meanSize;
		double maxValue = points.stream().mapToDouble((point) -> Math.abs(point.value())).max().orElse(1);
		double maxDeviation = points.stream()
			.mapToDouble((point) -> Math.abs(point.value() - intercept - slope * point.size()))
			.max()
			.orElse(0);
		return new Slope(name, unit, per, points, slope, intercept, maxDeviation / maxValue);
	}

	/**
	 * Formats the line as a row of a table.
	 * @return name, slope, intercept, residual and points
	 */
	public List<String> row() {
		StringBuilder text = new StringBuilder();
		this.points
			.forEach((point) -> text.append(String.format(Locale.ROOT, "%.0f:%.4g ", point.size(), point.value())));
		return List.of(this.name, String.format(Locale.ROOT, "%.4g %s/%s", this.slope, this.unit, this.per),
				String.format(Locale.ROOT, "%.4g", this.intercept),
				String.format(Locale.ROOT, "%.1f%%", this.residual * 100), text.toString().trim());
	}

	/**
	 * A measured value. Immutable.
	 *
	 * @param size size at which the value was measured
	 * @param value the value, in the unit of the slope
	 */
	public record Point(double size, double value) {
	}

}
