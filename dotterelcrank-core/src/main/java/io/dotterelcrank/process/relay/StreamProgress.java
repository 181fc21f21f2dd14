package io.dotterelcrank.process.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * How much of a streamed response its caller has, and when it came. What the caller had
 * before it resumed the stream counts as sent. Invariant: event ids only grow by one.
 * Confined to the traffic thread.
 */
final class StreamProgress {

	private final long arrivedAtMillis;

	/** Whether the caller has the head of the response. */
	private boolean started;

	/** Id of the last event that the caller has; empty before the first. */
	private OptionalLong lastEventId = OptionalLong.empty();

	/** Id of the event after which the caller resumes; 0 unless it resumes a stream. */
	private long resumedAfterEventId;

	/** Time from arrival to the first event; -1 before it. */
	private long firstEventMillis = -1;

	/** When the last event was sent to the caller; the start of the response before. */
	private long lastEventAtMillis;

	/** Whether no events are read, as the caller's connection accepts no more bytes. */
	private boolean readPaused;

	/** When events were last read again after a pause. */
	private long readResumedMillis;

	/** Max time between two events. */
	private long maxEventGapMillis;

	StreamProgress(long arrivedAtMillis) {
		this.arrivedAtMillis = arrivedAtMillis;
	}

	/**
	 * Records that the caller resumes a stream of which it has the first events.
	 * @param eventId id of the last event that it has
	 */
	void recordResume(long eventId) {
		this.resumedAfterEventId = eventId;
		this.lastEventId = OptionalLong.of(eventId);
	}

	void recordStart(long nowMillis) {
		this.started = true;
		this.lastEventAtMillis = nowMillis;
	}

	boolean started() {
		return this.started;
	}

	/**
	 * Returns whether the caller already has an event.
	 * @param event the event
	 * @return {@code false} for events without an id
	 */
	boolean contains(EventFramer.Event event) {
		return event.id().isPresent() && this.lastEventId.isPresent()
				&& event.id().getAsLong() <= this.lastEventId.getAsLong();
	}

	/**
	 * Returns why an event cannot be sent to the caller.
	 * @param event the event
	 * @param numbered whether only events with an id have a place in the stream
	 * @param resumed whether the engine was told the last event of the caller, so that
	 * even the first event has to follow it
	 * @return the reason; empty if it follows the last event or the caller has it
	 */
	Optional<String> fault(EventFramer.Event event, boolean numbered, boolean resumed) {
		if (!event.wellFormed()) {
			return Optional.of("bytes that are no event");
		}
		if (numbered && event.id().isEmpty() && !event.comment()) {
			return Optional.of("event without an id received after " + lastEventId());
		}
		boolean skips = event.id().isPresent() && (resumed || this.lastEventId.isPresent())
				&& event.id().getAsLong() > lastEventId() + 1;
		return skips ? Optional.of("event id " + event.id().getAsLong() + " received after " + lastEventId())
				: Optional.empty();
	}

	/**
	 * Records an event that is sent to the caller.
	 * @param event the event
	 * @param nowMillis time in milliseconds
	 * @return whether it is the first one
	 */
	boolean recordEvent(EventFramer.Event event, long nowMillis) {
		if (event.id().isPresent()) {
			this.lastEventId = event.id();
		}
		boolean first = this.firstEventMillis < 0;
		if (first) {
			this.firstEventMillis = nowMillis - this.arrivedAtMillis;
		}
		else {
			this.maxEventGapMillis = Math.max(this.maxEventGapMillis, nowMillis - this.lastEventAtMillis);
		}
		this.lastEventAtMillis = nowMillis;
		return first;
	}

	/**
	 * Returns the id of the last event that the caller has.
	 * @return the id; 0 before the first event
	 */
	long lastEventId() {
		return this.lastEventId.orElse(0);
	}

	long firstEventMillis() {
		return this.firstEventMillis;
	}

	long maxEventGapMillis() {
		return this.maxEventGapMillis;
	}

	/**
	 * Records how long a complete stream took. Only events of this response count for the
	 * time of an event, but all of the generation for the memory that it held.
	 * @param statistics statistics of the service
	 * @param promptTokens length of the prompt in tokens
	 * @param tokensPerEvent output tokens of an event
	 */
	void recordCompletion(GenerationStatistics statistics, long promptTokens, int tokensPerEvent) {
		long streamMillis = this.lastEventAtMillis - this.arrivedAtMillis - this.firstEventMillis;
		statistics.recordStream(lastEventId() - this.resumedAfterEventId, streamMillis);
		statistics.recordMemory(promptTokens + lastEventId() * tokensPerEvent, streamMillis + this.firstEventMillis);
	}

	/**
	 * Records that events are no longer read, or are read again.
	 * @param paused whether the caller's connection accepts no more bytes
	 * @param nowMillis time in milliseconds
	 */
	void recordReadPaused(boolean paused, long nowMillis) {
		if (this.readPaused && !paused) {
			this.readResumedMillis = nowMillis;
		}
		this.readPaused = paused;
	}

	/**
	 * Returns for how long no event has come although events were read.
	 * @param nowMillis time in milliseconds
	 * @return time since the last event or the end of the last pause; 0 during a pause
	 */
	long silentMillis(long nowMillis) {
		return this.readPaused ? 0 : nowMillis - Math.max(this.lastEventAtMillis, this.readResumedMillis);
	}

}
