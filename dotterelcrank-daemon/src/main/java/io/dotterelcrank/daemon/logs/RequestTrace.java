package io.dotterelcrank.daemon.logs;

import java.time.Duration;
import java.time.LocalTime;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.dotterelcrank.common.LogEvent;

/**
 * What logs tell of one request: the events that name it, and what the processes that
 * handled it learned meanwhile of its targets, their plan and the store. Immutable.
 *
 * @param lines the events in order; empty if no line names the request
 */
public record RequestTrace(List<LogLine> lines) {

	/**
	 * Time before the request from which what its processes learned is told; targets tell
	 * a leaving about this long before.
	 */
	static final Duration BEFORE = Duration.ofSeconds(3);

	/** Events that change what a process believes of everything. */
	private static final Set<Integer> BELIEFS = Set.of(LogEvent.PLAN_IN_FORCE.number(),
			LogEvent.DATA_CENTRES_OUT.number(), LogEvent.STORE_UNREACHABLE.number(), LogEvent.STORE_REACHABLE.number(),
			LogEvent.PROCESS_STARTED.number(), LogEvent.PROCESS_LEAVING.number());

	/**
	 * Finds the story of a request.
	 * @param id id of the request
	 * @param logs the events of all processes
	 * @return the story
	 */
	public static RequestTrace of(String id, MergedLog logs) {
		List<LogLine> own = logs.lines().stream().filter((line) -> names(line, id)).toList();
		if (own.isEmpty()) {
			return new RequestTrace(List.of());
		}
		Set<String> processes = new HashSet<>();
		Set<String> targets = new HashSet<>();
		own.forEach((line) -> {
			processes.add(line.process());
			line.field("target").ifPresent(targets::add);
			line.field("at").ifPresent(targets::add);
		});
		LocalTime from = earlier(own.get(0).time());
		LocalTime to = own.get(own.size() - 1).time();
		return new RequestTrace(logs.lines()
			.stream()
			.filter((line) -> names(line, id)
					|| (within(line, from, to) && processes.contains(line.process()) && background(line, targets)))
			.toList());
	}

	private static boolean names(LogLine line, String id) {
		return line.field("request").filter(id::equals).isPresent();
	}

	private static LocalTime earlier(LocalTime first) {
		return first.isAfter(LocalTime.MIN.plus(BEFORE)) ? first.minus(BEFORE) : LocalTime.MIN;
	}

	private static boolean within(LogLine line, LocalTime from, LocalTime to) {
		return !line.time().isBefore(from) && !line.time().isAfter(to);
	}

	private static boolean background(LogLine line, Set<String> targets) {
		boolean ofTarget = line.field("request").isEmpty()
				&& line.field("target").filter(targets::contains).isPresent();
		return ofTarget || BELIEFS.contains(line.number());
	}

}
