package io.dotterelcrank.daemon.logs;

import java.time.LocalTime;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.dotterelcrank.common.LogEvent;

/**
 * State of one process at a point in time, reconstructed from its log: plan, data centres
 * out of service, unreachable tables, targets. Not thread-safe.
 */
public final class ProcessView {

	/** Last start of the process, or {@code null} if it was not logged. */
	private LocalTime startedAt;

	/** Version of the plan in force; empty if none was logged. */
	private String planVersion = "";

	/** Data centres taken out of service, as logged. */
	private String dataCentresOut = "[]";

	private final Set<String> unreachableTables = new TreeSet<>();

	/** Text with service, data centre and whether the target is leaving, by its id. */
	private final Map<String, String> targets = new TreeMap<>();

	private ProcessView() {
	}

	/**
	 * Replays the log and returns the state of each process at a time.
	 * @param log events of all processes
	 * @param until time of day; later events are ignored
	 * @return states by process name, in the order of the processes' first events
	 */
	public static Map<String, ProcessView> at(MergedLog log, LocalTime until) {
		Map<String, ProcessView> views = new LinkedHashMap<>();
		log.lines()
			.stream()
			.filter((line) -> !line.time().isAfter(until))
			.forEach((line) -> views.computeIfAbsent(line.process(), (name) -> new ProcessView()).apply(line));
		return views;
	}

	private void apply(LogLine line) {
		if (line.eventNumber() == LogEvent.PROCESS_STARTED.number()) {
			this.startedAt = line.time();
			this.planVersion = "";
			this.dataCentresOut = "[]";
			this.unreachableTables.clear();
			this.targets.clear();
		}
		else if (line.eventNumber() == LogEvent.PLAN_IN_FORCE.number()) {
			this.planVersion = line.field("version").orElse("");
		}
		else if (line.eventNumber() == LogEvent.DATA_CENTRES_OUT.number()) {
			this.dataCentresOut = line.text().substring(line.text().indexOf('=') + 1);
		}
		else if (line.eventNumber() == LogEvent.STORE_UNREACHABLE.number()) {
			line.field("table").ifPresent(this.unreachableTables::add);
		}
		else if (line.eventNumber() == LogEvent.STORE_REACHABLE.number()) {
			line.field("table").ifPresent(this.unreachableTables::remove);
		}
		else if (line.eventNumber() == LogEvent.TARGET_UPDATED.number()
				|| line.eventNumber() == LogEvent.TARGET_REPORTED.number()) {
			this.targets.put(line.field("target").orElse("?"), line.field("service").orElse("?") + " in "
					+ line.field("dataCentre").orElse("?") + (line.text().contains("leaving=true") ? ", leaving" : ""));
		}
		else if (line.eventNumber() == LogEvent.TARGET_UNLISTED.number()) {
			line.field("target").ifPresent(this.targets::remove);
		}
	}

	/**
	 * Returns the version of the plan in force.
	 * @return the version, or an empty string if none was logged
	 */
	public String planVersion() {
		return this.planVersion;
	}

	/**
	 * Returns when the process last started.
	 * @return time of day, or {@code null} if it was not logged
	 */
	public LocalTime startedAt() {
		return this.startedAt;
	}

	/**
	 * Returns the data centres taken out of service.
	 * @return list of names in brackets, as logged
	 */
	public String dataCentresOut() {
		return this.dataCentresOut;
	}

	/**
	 * Returns the tables that could not be read from the store.
	 * @return names of tables
	 */
	public Set<String> unreachableTables() {
		return Set.copyOf(this.unreachableTables);
	}

	/**
	 * Returns the known targets.
	 * @return text with service, data centre and whether the target is leaving, by its id
	 */
	public Map<String, String> targets() {
		return Map.copyOf(this.targets);
	}

}
