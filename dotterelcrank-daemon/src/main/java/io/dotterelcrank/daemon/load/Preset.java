package io.dotterelcrank.daemon.load;

import java.util.List;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * A deployment to put load on. Immutable.
 *
 * @param name name on the command line
 * @param dataCentres names of its data centres; scenarios take the first one out of
 * service
 * @param enginesPerDataCentre number of model engines in each data centre
 * @param workspaces number of workspaces
 */
public record Preset(String name, List<String> dataCentres, int enginesPerDataCentre, int workspaces) {

	private static final List<Preset> ALL = List.of(
			new Preset("nile", List.of("shubra", "giza", "helwan", "abbassia"), 2, 10),
			new Preset("anadolu", List.of("ist-a", "ist-b", "ist-c"), 2, 10),
			new Preset("scaled", List.of("r1-a", "r1-b", "r2-a", "r2-b"), 3, 60),
			new Preset("single", List.of("one"), 1, 10));

	/**
	 * Returns a preset by name.
	 * @param name name on the command line
	 * @return the preset
	 * @throws RequestException if there is no such preset
	 */
	public static Preset named(String name) throws RequestException {
		return ALL.stream()
			.filter((preset) -> preset.name().equals(name))
			.findFirst()
			.orElseThrow(() -> Failure
				.notRun(ResultCode.INVALID_SETTING,
						"--preset must be one of " + ALL.stream().map(Preset::name).toList())
				.toException());
	}

	/**
	 * Returns the number of engines.
	 * @return number of model engines in all data centres
	 */
	public int engines() {
		return this.dataCentres.size() * this.enginesPerDataCentre;
	}

}
