package org.marjoramgw.load.capacity;

import java.util.List;

/**
 * Least-squares fit of a straight line to measured points.
 *
 * @param slope increase per unit of the independent variable
 * @param intercept value of the line at zero
 * @author The marjoramgw authors
 */
record LinearFit(double slope, double intercept) {

	static LinearFit of(List<double[]> points) {
		double meanX = points.stream().mapToDouble((point) -> point[0]).average().orElse(0);
		double meanY = points.stream().mapToDouble((point) -> point[1]).average().orElse(0);
		double covariance = points.stream().mapToDouble((point) -> (point[0] - meanX) * (point[1] - meanY)).sum();
		double variance = points.stream().mapToDouble((point) -> (point[0] - meanX) * (point[0] - meanX)).sum();
		double perUnit = (variance == 0) ? 0 : covariance / variance;
		return new LinearFit(perUnit, meanY - perUnit * meanX);
	}

}
