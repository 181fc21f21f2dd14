package io.dotterelcrank.daemon.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

import io.dotterelcrank.common.SharedJsonMapper;

/**
 * Formats results as rows of a table, JSON and charts. Stateless.
 */
public final class Report {

	/** Width of a chart, in pixels. */
	private static final int WIDTH = 900;

	/** Height of a chart, in pixels. */
	private static final int HEIGHT = 500;

	private static final double MILLIS_PER_SECOND = 1_000;

	private Report() {
	}

	/**
	 * Formats results as rows of a table.
	 * @param results the results
	 * @return the heading, then one row per result
	 */
	public static List<List<String>> rows(List<PolicyBench.Result> results) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("POLICIES", "SEED", "REQ/S", "COMPLETE", "REFUSED", "FAILED", "TOKENS/S", "GOODPUT",
				"FIRST P95", "GAP P50", "GAP P95", "GAP P99", "STALL/1000", "PREEMPT", "FALL OVER"));
		for (PolicyBench.Result result : results) {
			Measurement.Figures figures = result.figures();
			rows.add(List.of(result.policies().label(), Long.toString(result.seed()),
					decimal(result.requestsPerSecond()), Long.toString(figures.complete()),
					Long.toString(figures.refused()), Long.toString(figures.failed()),
					decimal(figures.tokensPerSecond()), decimal(figures.goodput()),
					Long.toString(figures.firstTokenP95()), Long.toString(figures.betweenP50()),
					Long.toString(figures.betweenP95()), Long.toString(figures.betweenP99()),
					decimal(figures.stallPerThousand()), Long.toString(figures.preemptions()),
					Long.toString(figures.fallOvers())));
		}
		return rows;
	}

	private static String decimal(double value) {
		return String.format(Locale.ROOT, "%.1f", value);
	}

	/**
	 * Writes {@code results.json} and charts.
	 * @param folder folder of the files, created if missing
	 * @param settings deployment, policies and workload
	 * @param results the results
	 * @throws IOException if a file cannot be written
	 */
	public static void write(Path folder, PolicyBench.Settings settings, List<PolicyBench.Result> results)
			throws IOException {
		Files.createDirectories(folder);
		Files.write(folder.resolve("results.json"),
				SharedJsonMapper.mapper()
					.writerWithDefaultPrettyPrinter()
					.writeValueAsBytes(new Document(settings, results)));
		saveChart(folder, "service.png", throughputChart(settings, results));
		saveChart(folder, "stall.png", barChart(results, "Stall time", "ms per 1,000 tokens",
				(result) -> result.figures().stallPerThousand()));
		saveChart(folder, "preemptions.png",
				barChart(results, "Preemptions", "count", (result) -> (double) result.figures().preemptions()));
		saveChart(folder, "tail.png", barChart(results, "Time between tokens, 99 in 100", "ms",
				(result) -> (double) result.figures().betweenP99()));
	}

	private static void saveChart(Path folder, String name, Chart<?, ?> chart) throws IOException {
		BitmapEncoder.saveBitmap(chart, folder.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
	}

	private static XYChart throughputChart(PolicyBench.Settings settings, List<PolicyBench.Result> results) {
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("Service: " + settings.preset().name() + ", " + settings.scenario().label())
			.xAxisTitle("seconds")
			.yAxisTitle("tokens per second")
			.build();
		long firstSeed = settings.seeds().get(0);
		for (PolicyBench.Result result : results) {
			if (result.seed() == firstSeed) {
				List<Double> tokensPerSecond = result.figures().service();
				List<Double> seconds = new ArrayList<>();
				for (int i = 0; i < tokensPerSecond.size(); i++) {
					seconds.add(i * Measurement.WINDOW_MILLIS / MILLIS_PER_SECOND);
				}
				chart.addSeries(result.policies().label(), seconds, tokensPerSecond).setMarker(SeriesMarkers.NONE);
			}
		}
		return chart;
	}

	private static CategoryChart barChart(List<PolicyBench.Result> results, String title, String unit,
			FigureSelector selector) {
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title(title)
			.xAxisTitle("seed")
			.yAxisTitle(unit)
			.build();
		results.stream().map(PolicyBench.Result::policies).distinct().forEach((policies) -> {
			List<PolicyBench.Result> resultsOfPolicies = results.stream()
				.filter((result) -> result.policies().equals(policies))
				.toList();
			chart.addSeries(policies.label(),
					resultsOfPolicies.stream().map((result) -> Long.toString(result.seed())).toList(),
					resultsOfPolicies.stream().map(selector::select).toList());
		});
		return chart;
	}

	/**
	 * Selects the figure that a chart shows.
	 */
	private interface FigureSelector {

		/**
		 * Returns the figure.
		 * @param result result of one run
		 * @return the figure
		 */
		double select(PolicyBench.Result result);

	}

	/**
	 * Contents of {@code results.json}. Immutable.
	 *
	 * @param settings deployment, policies and workload
	 * @param results the results
	 */
	private record Document(PolicyBench.Settings settings, List<PolicyBench.Result> results) {
	}

}
