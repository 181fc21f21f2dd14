package io.dotterelcrank.process.relay;

import java.util.LinkedHashSet;
import java.util.Set;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.membership.Target;

/**
 * What this process knows of one target: its own requests there, the load that the
 * target's sidecar last told, and how its answers went. Belongs to the traffic thread.
 */
final class TrackedTarget {

	/**
	 * Age above which a sidecar's report no longer counts, in milliseconds; sidecars
	 * report at least once a second.
	 */
	static final long LOAD_MILLIS = 2_500;

	/** Longest time for which an unreachable target is avoided, in milliseconds. */
	static final long MAX_AVOID_MILLIS = 8_000;

	/** Doublings after which the time to avoid a target is longest in any case. */
	private static final int MAX_DOUBLINGS = 10;

	/** Weight of a new observation in smoothed ones. */
	private static final double SMOOTHING = 0.2;

	/** Clock of the process. */
	private final Clock clock;

	/** Bounds requests while the target is cold. */
	private final ColdLimit coldLimit;

	/** Requests of this process that are there. */
	private final Set<OwnRun> own = new LinkedHashSet<>();

	/** Whether a run of this process is being moved off the engine. */
	private boolean moving;

	/** The target. */
	private Target target;

	/** Last report of the sidecar, or {@code null}. */
	private EngineLoad load;

	/** When the report arrived, in milliseconds. */
	private long loadAtMillis;

	/** Smoothed share of failed requests. */
	private double failedShare;

	/** Smoothed time to an answer, in milliseconds; 0 before the first. */
	private double answerMillis;

	/** Time before which no request is sent, after failed connections. */
	private long avoidUntilMillis;

	/** Failed connections in a row. */
	private int unreached;

	/** Time before which its sidecar is not asked for room. */
	private long sidecarSilentUntilMillis;

	TrackedTarget(Clock clock, Target target) {
		this.clock = clock;
		this.target = target;
		this.coldLimit = new ColdLimit(clock);
	}

	void update(Target changed) {
		this.target = changed;
	}

	void report(EngineLoad told) {
		this.load = told;
		this.loadAtMillis = this.clock.millis();
	}

	Target target() {
		return this.target;
	}

	String id() {
		return this.target.registration().id();
	}

	/**
	 * Returns the last report of the sidecar.
	 * @return the report, or {@code null} if there is none or it is too old
	 */
	EngineLoad load() {
		boolean fresh = this.load != null && this.clock.millis() - this.loadAtMillis <= LOAD_MILLIS;
		return fresh ? this.load : null;
	}

	/**
	 * Tells whether the target is about to end.
	 * @return {@code true} if it, or the sidecar beside it, says that it is leaving
	 */
	boolean leaving() {
		EngineLoad fresh = load();
		return this.target.registration().leaving() || (fresh != null && fresh.leaving());
	}

	/**
	 * Tells whether new requests may be sent.
	 * @return {@code true} if neither the target nor its data centre is leaving
	 */
	boolean open() {
		return this.target.acceptsNewWork() && !leaving();
	}

	/**
	 * Begins to move a run off the engine. An engine sends one copy after another, so a
	 * second move would only delay the first.
	 * @return {@code false} if another move of this process is under way
	 */
	boolean beginMove() {
		boolean free = !this.moving;
		this.moving = true;
		return free;
	}

	void endMove() {
		this.moving = false;
	}

	boolean avoided() {
		return this.clock.millis() < this.avoidUntilMillis;
	}

	/**
	 * Avoids the target for a time that doubles with each failed connection in a row, up
	 * to {@link #MAX_AVOID_MILLIS}.
	 * @param firstMillis time after the first one, in milliseconds
	 */
	void unreached(long firstMillis) {
		long millis = Math.min(MAX_AVOID_MILLIS, firstMillis << Math.min(this.unreached, MAX_DOUBLINGS));
		this.unreached++;
		this.avoidUntilMillis = this.clock.millis() + millis;
	}

	/**
	 * Avoids the target for a time, since it refused a request.
	 * @param millis the time in milliseconds
	 */
	void refused(long millis) {
		this.avoidUntilMillis = this.clock.millis() + millis;
	}

	boolean cold() {
		return this.clock.millis() < this.target.coldUntilMillis();
	}

	ColdLimit coldLimit() {
		return this.coldLimit;
	}

	/**
	 * Takes in that a request is sent.
	 * @param promptTokens tokens that it reads; 0 for a plain request
	 * @param expectedTokens tokens that it will probably hold in the end
	 * @return a handle, to be given back when the request has ended there
	 */
	OwnRun sent(long promptTokens, long expectedTokens) {
		OwnRun run = new OwnRun(promptTokens, expectedTokens, this.clock.millis());
		this.own.add(run);
		return run;
	}

	void ended(OwnRun run) {
		this.own.remove(run);
	}

	void succeeded(double millis) {
		this.unreached = 0;
		this.failedShare -= SMOOTHING * this.failedShare;
		this.answerMillis += ((this.answerMillis == 0) ? 1 : SMOOTHING) * (millis - this.answerMillis);
	}

	void failed() {
		this.failedShare += SMOOTHING * (1 - this.failedShare);
	}

	double failedShare() {
		return this.failedShare;
	}

	double answerMillis() {
		return this.answerMillis;
	}

	int ownRequests() {
		return this.own.size();
	}

	/**
	 * Returns the prompt tokens that the target has probably still to read: those that
	 * its sidecar told, and those of own requests since. Without a sidecar, the own ones
	 * stand for those of all hosts.
	 * @param hosts number of entry hosts
	 * @return number of tokens
	 */
	long unreadTokens(int hosts) {
		EngineLoad fresh = load();
		long sinceMillis = (fresh != null) ? this.loadAtMillis : 0;
		long own = this.own.stream()
			.filter((run) -> !run.started && run.sentMillis >= sinceMillis)
			.mapToLong((run) -> run.promptTokens)
			.sum();
		return (fresh != null) ? fresh.unreadTokens() + own : own * hosts;
	}

	/**
	 * Tells whether its sidecar is not asked for room at the moment.
	 * @return {@code true} for a time after a question without an answer
	 */
	boolean sidecarSilent() {
		return this.clock.millis() < this.sidecarSilentUntilMillis;
	}

	void sidecarSilent(long millis) {
		this.sidecarSilentUntilMillis = this.clock.millis() + millis;
	}

	/**
	 * Returns the tokens that own requests will probably hold in the end.
	 * @return number of tokens
	 */
	long ownExpected() {
		return this.own.stream().mapToLong((run) -> run.expectedTokens).sum();
	}

	/**
	 * A request of this process at the target.
	 */
	static final class OwnRun {

		/** Tokens of its prompt. */
		private final long promptTokens;

		/** Tokens that it will probably hold in the end. */
		private final long expectedTokens;

		/** When it was sent, in milliseconds. */
		private final long sentMillis;

		/** Whether it has produced an event. */
		private boolean started;

		OwnRun(long promptTokens, long expectedTokens, long sentMillis) {
			this.promptTokens = promptTokens;
			this.expectedTokens = expectedTokens;
			this.sentMillis = sentMillis;
		}

		void started() {
			this.started = true;
		}

	}

}
