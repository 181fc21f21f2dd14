package io.dotterelcrank.process.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Requests that wait for admission. The next one is of the highest priority; among those,
 * of the workspace that has been served least in proportion to its weight; among those,
 * the one that came first. Not thread-safe.
 */
public final class FairQueue {

	/** Waiting requests by id, in order of arrival. */
	private final Map<String, Waiting> waiting = new LinkedHashMap<>();

	/** Tokens served for each unit of weight, by workspace. */
	private final Map<String, Double> served = new HashMap<>();

	/**
	 * Service at which the last admitted request started; a workspace that comes anew
	 * starts here.
	 */
	private double floor;

	private FairQueue() {
	}

	/**
	 * Creates an empty queue.
	 * @return a new queue
	 */
	public static FairQueue create() {
		return new FairQueue();
	}

	/**
	 * Adds a request.
	 * @param candidate the request
	 * @param giveUpMillis when it stops waiting
	 */
	public void add(PendingRequest candidate, long giveUpMillis) {
		this.waiting.put(candidate.id(), new Waiting(candidate, giveUpMillis));
	}

	/**
	 * Removes a request.
	 * @param id id of the request
	 * @return whether it was waiting
	 */
	public boolean remove(String id) {
		return this.waiting.remove(id) != null;
	}

	/**
	 * Finds the request to admit next.
	 * @return the request, still in the queue, or nothing
	 */
	public Optional<PendingRequest> next() {
		return this.waiting.values().stream().map(Waiting::candidate).min(order());
	}

	/**
	 * Finds the request to refuse first: the newest one of the lowest priority, of the
	 * workspace with most requests waiting.
	 * @return the request, still in the queue, or nothing
	 */
	public Optional<PendingRequest> last() {
		Map<String, Long> counts = this.waiting.values()
			.stream()
			.collect(Collectors.groupingBy((entry) -> entry.candidate().workspace(), Collectors.counting()));
		Comparator<PendingRequest> shed = Comparator.comparing(PendingRequest::priority)
			.thenComparing((candidate) -> counts.get(candidate.workspace()));
		return this.waiting.values()
			.stream()
			.map(Waiting::candidate)
			.reduce((first, second) -> (shed.compare(second, first) >= 0) ? second : first);
	}

	private Comparator<PendingRequest> order() {
		return Comparator.comparing(PendingRequest::priority)
			.thenComparingDouble((candidate) -> start(candidate.workspace()));
	}

	/**
	 * Takes in that a request was admitted.
	 * @param candidate the request
	 * @param tokens expected memory or output, in tokens
	 * @param weights returns the weight of a workspace
	 */
	public void admitted(PendingRequest candidate, double tokens, ToLongFunction<String> weights) {
		double start = start(candidate.workspace());
		this.floor = Math.max(this.floor, start);
		this.waiting.remove(candidate.id());
		this.served.put(candidate.workspace(), start + tokens / weights.applyAsLong(candidate.workspace()));
		this.served.values().removeIf((value) -> value <= this.floor);
	}

	private double start(String workspace) {
		return Math.max(this.floor, this.served.getOrDefault(workspace, 0.0));
	}

	/**
	 * Removes the requests that stop waiting.
	 * @param nowMillis the time
	 * @return the requests removed
	 */
	public List<PendingRequest> expire(long nowMillis) {
		List<PendingRequest> expired = this.waiting.values()
			.stream()
			.filter((entry) -> entry.giveUpMillis() <= nowMillis)
			.map(Waiting::candidate)
			.toList();
		expired.forEach((candidate) -> this.waiting.remove(candidate.id()));
		return expired;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return number of requests
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * A waiting request. Immutable.
	 *
	 * @param candidate the request
	 * @param giveUpMillis when it stops waiting
	 */
	private record Waiting(PendingRequest candidate, long giveUpMillis) {
	}

}
