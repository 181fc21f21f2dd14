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
 * Admission queue with priorities and, within a priority, start-time fair queueing: each
 * workspace is admitted in proportion to its weight, its requests in order of arrival.
 * Virtual time counts expected tokens per unit of weight. Not thread-safe.
 */
public final class FairQueue {

	/** Waiting requests by id, in order of arrival. */
	private final Map<String, QueuedRequest> waiting = new LinkedHashMap<>();

	/** Virtual time at which the last admitted request of a workspace finishes. */
	private final Map<String, Double> finishTags = new HashMap<>();

	/**
	 * Largest start tag of an admitted request; a workspace that was idle starts here.
	 */
	private double virtualTime;

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
	 * @param request the request
	 * @param expiresAtMillis when its wait ends, in milliseconds
	 */
	public void add(PendingRequest request, long expiresAtMillis) {
		this.waiting.put(request.id(), new QueuedRequest(request, expiresAtMillis));
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
	 * Returns the request to admit next.
	 * @return the request, still in the queue; empty if the queue is empty
	 */
	public Optional<PendingRequest> nextToAdmit() {
		return this.waiting.values().stream().map(QueuedRequest::request).min(admissionOrder());
	}

	/**
	 * Returns the request to shed first: the newest one of the lowest priority, of the
	 * workspace with the most waiting requests.
	 * @return the request, still in the queue; empty if the queue is empty
	 */
	public Optional<PendingRequest> nextToShed() {
		Map<String, Long> counts = this.waiting.values()
			.stream()
			.collect(Collectors.groupingBy((queued) -> queued.request().workspace(), Collectors.counting()));
		Comparator<PendingRequest> shedOrder = Comparator.comparing(PendingRequest::priority)
			.thenComparing((request) -> counts.get(request.workspace()));
		return this.waiting.values()
			.stream()
			.map(QueuedRequest::request)
			.reduce((first, second) -> (shedOrder.compare(second, first) >= 0) ? second : first);
	}

	private Comparator<PendingRequest> admissionOrder() {
		return Comparator.comparing(PendingRequest::priority)
			.thenComparingDouble((request) -> startTag(request.workspace()));
	}

	/**
	 * Removes an admitted request and charges its workspace for it.
	 * @param request the request
	 * @param tokens expected prompt and output length, in tokens
	 * @param weights returns the weight of a workspace
	 */
	public void recordAdmission(PendingRequest request, double tokens, ToLongFunction<String> weights) {
		double startTag = startTag(request.workspace());
		this.virtualTime = Math.max(this.virtualTime, startTag);
		this.waiting.remove(request.id());
		this.finishTags.put(request.workspace(), startTag + tokens / weights.applyAsLong(request.workspace()));
		this.finishTags.values().removeIf((finishTag) -> finishTag <= this.virtualTime);
	}

	private double startTag(String workspace) {
		return Math.max(this.virtualTime, this.finishTags.getOrDefault(workspace, 0.0));
	}

	/**
	 * Removes the requests whose wait has ended.
	 * @param nowMillis the current time in milliseconds
	 * @return the removed requests, in order of arrival
	 */
	public List<PendingRequest> removeExpired(long nowMillis) {
		List<PendingRequest> expired = this.waiting.values()
			.stream()
			.filter((queued) -> queued.expiresAtMillis() <= nowMillis)
			.map(QueuedRequest::request)
			.toList();
		expired.forEach((request) -> this.waiting.remove(request.id()));
		return expired;
	}

	/**
	 * Returns the length of the queue.
	 * @return number of waiting requests
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * A waiting request. Immutable.
	 *
	 * @param request the request
	 * @param expiresAtMillis when its wait ends, in milliseconds
	 */
	private record QueuedRequest(PendingRequest request, long expiresAtMillis) {
	}

}
