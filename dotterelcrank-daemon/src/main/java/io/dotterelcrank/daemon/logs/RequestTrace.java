package io.dotterelcrank.daemon.logs;

import java.time.Duration;
import java.time.LocalTime;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.dotterelcrank.common.LogEvent;

/**
 * The logged events of one request and their context: events about its targets, the plan
 * and the store that the processes handling it logged at that time. Immutable.
 *
 * @param lines the events by time; empty if no event has the request's id
 */
public record RequestTrace(List<LogLine> lines) {

	/**
	 * Time before the request from which context is included; about as long as the notice
	 * that targets give before they leave.
	 */
	static final Duration LOOKBACK = Duration.ofSeconds(3);

	/**
	 * Events that change the state of the whole process, and are context of every
	 * request.
	 */
	private static final Set<Integer> PROCESS_STATE_EVENTS = Set.of(LogEvent.PLAN_IN_FORCE.number(),
			LogEvent.DATA_CENTRES_OUT.number(), LogEvent.STORE_UNREACHABLE.number(), LogEvent.STORE_REACHABLE.number(),
			LogEvent.PROCESS_STARTED.number(), LogEvent.PROCESS_STOPPING.number());

	/**
	 * Collects the events of a request.
	 * @param id id of the request
	 * @param log events of all processes
	 * @return the trace
	 */
	public static RequestTrace of(String id, MergedLog log) {
		List<LogLine> requestLines = log.lines().stream().filter((line) -> mentionsRequest(line, id)).toList();
		if (requestLines.isEmpty()) {
			return new RequestTrace(List.of());
		}
		Set<String> processNames = new HashSet<>();
		Set<String> targetIds = new HashSet<>();
		requestLines.forEach((line) -> {
			processNames.add(line.process());
			line.field("target").ifPresent(targetIds::add);
			line.field("at").ifPresent(targetIds::add);
		});
		LocalTime from = lookbackStart(requestLines.get(0).time());
		LocalTime to = requestLines.get(requestLines.size() - 1).time();
		return new RequestTrace(log.lines()
			.stream()
			.filter((line) -> mentionsRequest(line, id) || (isBetween(line, from, to)
					&& processNames.contains(line.process()) && isContext(line, targetIds)))
			.toList());
	}

	private static boolean mentionsRequest(LogLine line, String id) {
		return line.field("request").filter(id::equals).isPresent();
	}

	private static LocalTime lookbackStart(LocalTime first) {
		return first.isAfter(LocalTime.MIN.plus(LOOKBACK)) ? first.minus(LOOKBACK) : LocalTime.MIN;
	}

	private static boolean isBetween(LogLine line, LocalTime from, LocalTime to) {
		return !line.time().isBefore(from) && !line.time().isAfter(to);
	}

	private static boolean isContext(LogLine line, Set<String> targetIds) {
		boolean aboutTarget = line.field("request").isEmpty()
				&& line.field("target").filter(targetIds::contains).isPresent();
		return aboutTarget || PROCESS_STATE_EVENTS.contains(line.eventNumber());
	}

}
