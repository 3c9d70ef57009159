package org.marjoramgw.load.capacity;

import java.util.List;

/**
 * Straight line through measured points by least squares.
 *
 * @param perUnit growth for each unit of the first axis
 * @param atZero value at zero
 * @author The marjoramgw authors
 */
record Slope(double perUnit, double atZero) {

	static Slope of(List<double[]> points) {
		double meanX = points.stream().mapToDouble((point) -> point[0]).average().orElse(0);
		double meanY = points.stream().mapToDouble((point) -> point[1]).average().orElse(0);
		double covariance = points.stream().mapToDouble((point) -> (point[0] - meanX) * (point[1] - meanY)).sum();
		double variance = points.stream().mapToDouble((point) -> (point[0] - meanX) * (point[0] - meanX)).sum();
		double perUnit = (variance == 0) ? 0 : covariance / variance;
		return new Slope(perUnit, meanY - perUnit * meanX);
	}

}
