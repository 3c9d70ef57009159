package org.marjoramgw.load.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.WindowResult;

/**
 * Charts of the attainment and the time to the first token over time.
 *
 * @author The marjoramgw authors
 */
public final class ResultChart {

	private static final int WIDTH_PIXELS = 1_000;

	private static final int HEIGHT_PIXELS = 450;

	private static final double SECOND_MILLIS = 1_000;

	private static final String SVG = ".svg";

	private final ExperimentResult result;

	/**
	 * Creates the charts of a run.
	 * @param result the result of the run
	 */
	public ResultChart(ExperimentResult result) {
		this.result = result;
	}

	/**
	 * Writes both charts. PNG output is one file with the charts one above the other; SVG
	 * output is two files, the second with {@code -wait} appended to its base name.
	 * @param path the file; a name that ends with {@code .svg} selects SVG
	 * @throws IOException if the file can't be written
	 */
	public void write(Path path) throws IOException {
		XYChart attainment = buildChart("Attainment", "percent of requests", WindowResult::attainmentPercent);
		XYChart firstToken = buildChart("Wait for the first token", "p95 in ms", WindowResult::firstTokenP95Millis);
		String chartPath = path.toString();
		if (chartPath.endsWith(SVG)) {
			String firstTokenPath = chartPath.substring(0, chartPath.length() - SVG.length()) + "-wait" + SVG;
			VectorGraphicsEncoder.saveVectorGraphic(attainment, chartPath, VectorGraphicsFormat.SVG);
			VectorGraphicsEncoder.saveVectorGraphic(firstToken, firstTokenPath, VectorGraphicsFormat.SVG);
			return;
		}
		BitmapEncoder.saveBitmap(List.of(attainment, firstToken), 2, 1, chartPath, BitmapFormat.PNG);
	}

	private XYChart buildChart(String title, String axis,
			Function<WindowResult, Map<String, ? extends Number>> values) {
		XYChart chart = new XYChartBuilder().width(WIDTH_PIXELS)
			.height(HEIGHT_PIXELS)
			.title(title + ": " + this.result.experiment() + ", seed " + this.result.seed())
			.xAxisTitle("s")
			.yAxisTitle(axis)
			.build();
		for (ClassResult row : this.result.classes()) {
			addSeries(chart, row.name(), values);
		}
		return chart;
	}

	private void addSeries(XYChart chart, String name, Function<WindowResult, Map<String, ? extends Number>> values) {
		List<Double> seconds = new ArrayList<>();
		List<Double> points = new ArrayList<>();
		for (WindowResult window : this.result.windows()) {
			Number value = values.apply(window).get(name);
			if (value != null) {
				seconds.add(window.startMillis() / SECOND_MILLIS);
				points.add(value.doubleValue());
			}
		}
		if (!points.isEmpty()) {
			chart.addSeries(name, seconds, points);
		}
	}

}
