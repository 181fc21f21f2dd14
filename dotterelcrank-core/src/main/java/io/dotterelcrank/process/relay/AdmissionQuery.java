package io.dotterelcrank.process.relay;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

/**
 * Asks the sidecar beside an engine for room before a generation is sent there. Answers
 * the load pattern of many entry hosts that place requests by the same report.
 * Invariants: one question is open at a time; a sidecar that does not answer delays a
 * request once by {@link #ANSWER_MILLIS}, never refuses it. Belongs to the traffic
 * thread.
 */
final class AdmissionQuery {

	/**
	 * Longest wait for an answer, in milliseconds; a round trip between data centres
	 * takes 2 ms, a loaded sidecar some more.
	 */
	static final long ANSWER_MILLIS = 40;

	/** Time for which a sidecar that did not answer is not asked, in milliseconds. */
	static final long SILENT_MILLIS = 1_000;

	/**
	 * Refusals after which a longer queue than expected is taken, so that a request ends
	 * its search.
	 */
	static final int MAX_REFUSALS = 2;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(AdmissionQuery.class);

	/** The request. */
	private final RelayedRequest relay;

	/** Requests under way, and what they share. */
	private final RelayService relays;

	/** Engine that is asked about, or {@code null}. */
	private TrackedTarget target;

	/** The request in the target's book, while it is asked about. */
	private TrackedTarget.OwnRun run;

	/** Number of the open question. */
	private long number;

	/** Ends the wait for the answer. */
	private Scheduler.ScheduledTask timeout;

	/** Questions that were answered with no. */
	private int refusals;

	AdmissionQuery(RelayedRequest relay, RelayService relays) {
		this.relay = relay;
		this.relays = relays;
	}

	/**
	 * Asks for room.
	 * @param chosen engine to ask about
	 * @param demand what the request needs
	 * @return {@code false} if its sidecar cannot be asked
	 */
	boolean ask(TrackedTarget chosen, PlacementStrategy.Demand demand) {
		EngineLoad load = chosen.load();
		if (load == null || chosen.sidecarSilent()) {
			return false;
		}
		long known = (this.refusals < MAX_REFUSALS) ? chosen.unreadTokens(demand.hosts()) : load.memoryTotal();
		this.number = this.relays.nextQuestion(this);
		boolean asked = this.relays.rooms()
			.ask(load.address(), new Message.AdmissionRequest(this.number, this.relay.id(), demand.promptTokens(),
					demand.expectedTokens(), known));
		if (!asked) {
			this.relays.closeQuestion(this.number);
			return false;
		}
		this.target = chosen;
		this.run = chosen.sent(demand.promptTokens(), demand.expectedTokens());
		this.timeout = this.relays.traffic().schedule(ANSWER_MILLIS, this::unanswered);
		return true;
	}

	private void unanswered() {
		TrackedTarget silent = this.target;
		LogEvent.ADMISSION_TIMED_OUT.log(logger, this.relay.id(), silent.id(), ANSWER_MILLIS);
		silent.sidecarSilent(SILENT_MILLIS);
		close();
		this.relay.roomAt(silent);
	}

	/**
	 * Takes the answer in.
	 * @param granted whether the engine takes the request
	 * @param load load of the engine
	 */
	void answered(boolean granted, EngineLoad load) {
		TrackedTarget asked = this.target;
		close();
		if (granted) {
			this.relay.roomAt(asked);
			return;
		}
		this.refusals++;
		LogEvent.ADMISSION_REFUSED.log(logger, this.relay.id(), asked.id(), this.refusals, load);
		this.relays.book().report(load);
		this.relay.noRoom(this.refusals <= MAX_REFUSALS);
	}

	boolean open() {
		return this.target != null;
	}

	/**
	 * Gives the open question up, if there is one.
	 */
	void close() {
		if (this.target != null) {
			this.timeout.cancel();
			this.relays.closeQuestion(this.number);
			this.target.ended(this.run);
			this.target = null;
		}
	}

}
