package io.dotterelcrank.process.speed;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.dotterelcrank.connection.EngineSpeed;

/**
 * Measures the speed of an engine from successive reports of its running requests.
 * Addresses the load pattern of engines that share their machines with other work: some
 * are slow for good, others for seconds or fractions of a second, and some only for
 * prefill or only for decoding. The prefill rate follows the last half second, which the
 * next first event depends on; without prefill it returns to the average of a longer time
 * and is unknown after some seconds. Step times are averages over that longer time, since
 * a generation runs for seconds. Invariant: only intervals in which a kind of work went
 * on from beginning to end are counted, so that an idle engine does not pass for a slow
 * one. Not thread-safe.
 */
public final class EngineSpeedMeter {

	/** Horizon of a decision about the next first event, in milliseconds. */
	static final double SHORT_HORIZON_MILLIS = 500;

	/** Horizon of a decision about a whole generation, in milliseconds. */
	static final double LONG_HORIZON_MILLIS = 10_000;

	/**
	 * Time of prefill within the short horizon that weighs as much as the long-term rate,
	 * in milliseconds.
	 */
	private static final double LONG_TERM_WEIGHT_MILLIS = 50;

	/**
	 * Time without prefill after which the rate is unknown, in milliseconds: the machine
	 * may have recovered, and only new work can show it.
	 */
	static final long MAX_PREFILL_AGE_MILLIS = 5_000;

	/** Longest interval between two reports that are compared, in milliseconds. */
	static final long MAX_INTERVAL_MILLIS = 1_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Prompt tokens per millisecond, as of late. */
	private DecayingRate recentPrefill = DecayingRate.of(SHORT_HORIZON_MILLIS);

	/** Prompt tokens per millisecond, on average. */
	private DecayingRate averagePrefill = DecayingRate.of(LONG_HORIZON_MILLIS);

	/** Output tokens per millisecond of a request, in all intervals. */
	private final DecayingRate decode = DecayingRate.of(LONG_HORIZON_MILLIS);

	/** The same without prefill beside it. */
	private final DecayingRate quietDecode = DecayingRate.of(LONG_HORIZON_MILLIS);

	/** The same beside prefill. */
	private final DecayingRate disturbedDecode = DecayingRate.of(LONG_HORIZON_MILLIS);

	/** Running requests of the last report, by id. */
	private Map<String, Run> lastRuns = Map.of();

	/** Preempted requests whose tokens are being prefilled again, by id. */
	private final Set<String> rereading = new HashSet<>();

	/** Whether the engine lists requests whose prompts are not prefilled. */
	private boolean listsUnread;

	/** Whether an admitted prompt was not prefilled as of the last report. */
	private boolean lastUnread;

	/** When the last listed prompt was prefilled. */
	private long prefilledMillis;

	/** When prefill was last observed. */
	private long lastPrefillMillis;

	/** When the last report was read; negative before the first. */
	private long lastMillis = -1;

	private EngineSpeedMeter() {
	}

	/**
	 * Creates a meter without observations.
	 * @return a new meter
	 */
	public static EngineSpeedMeter create() {
		return new EngineSpeedMeter();
	}

	/**
	 * Records a report.
	 * @param nowMillis when it was read, in milliseconds
	 * @param runs requests that the engine lists
	 * @param prompts admitted prompts that were not prefilled as of the last report
	 */
	public void recordReport(long nowMillis, Collection<Run> runs, Collection<Prompt> prompts) {
		Map<String, Run> current = new HashMap<>();
		runs.forEach((run) -> current.put(run.id(), run));
		this.rereading.retainAll(current.keySet());
		this.listsUnread |= !this.listsUnread && runs.stream().anyMatch((run) -> run.events() == 0);
		boolean unread = prompts.stream().anyMatch((prompt) -> !prefilled(prompt, current));
		long elapsedMillis = nowMillis - this.lastMillis;
		if (this.lastMillis >= 0 && elapsedMillis > 0 && elapsedMillis <= MAX_INTERVAL_MILLIS) {
			boolean quiet = prompts.isEmpty() && quiet(this.lastRuns) && quiet(current);
			recordDecoding(nowMillis, elapsedMillis, current, quiet && !this.lastUnread);
			if (this.listsUnread) {
				recordPrefill(nowMillis, elapsedMillis, current);
			}
			else {
				recordPrefilledPrompts(nowMillis, elapsedMillis, current, prompts);
			}
		}
		this.lastUnread = unread;
		this.lastRuns = current;
		this.lastMillis = nowMillis;
	}

	private void recordPrefill(long nowMillis, long elapsedMillis, Map<String, Run> current) {
		boolean prefilling = false;
		long tokens = 0;
		for (Run run : current.values()) {
			Run last = this.lastRuns.get(run.id());
			if (last == null && run.tokens() > 0) {
				// Part of its tokens may have been cached.
				return;
			}
			if (last != null && last.events() == 0) {
				tokens += Math.max(0, run.tokens() - last.tokens());
				prefilling |= run.events() == 0;
			}
		}
		if (prefilling) {
			recordPrefilled(nowMillis, tokens, elapsedMillis);
		}
	}

	/**
	 * Records the prompts that were prefilled since the last report, at half of the
	 * interval on average. Prefill of the first began when it was admitted, or when that
	 * of earlier ones was complete.
	 * @param nowMillis when the report was read, in milliseconds
	 * @param elapsedMillis time since the last report, in milliseconds
	 * @param current requests that the engine lists, by id
	 * @param prompts admitted prompts that were not prefilled as of the last report
	 */
	private void recordPrefilledPrompts(long nowMillis, long elapsedMillis, Map<String, Run> current,
			Collection<Prompt> prompts) {
		long tokens = 0;
		long beginMillis = nowMillis;
		for (Prompt prompt : prompts) {
			if (prefilled(prompt, current)) {
				tokens += prompt.tokens();
				beginMillis = Math.min(beginMillis, prompt.admittedMillis());
			}
		}
		if (tokens > 0) {
			beginMillis = Math.max(beginMillis, this.prefilledMillis);
			this.prefilledMillis = nowMillis - elapsedMillis / 2;
			if (this.prefilledMillis > beginMillis) {
				recordPrefilled(nowMillis, tokens, this.prefilledMillis - beginMillis);
			}
		}
	}

	private static boolean prefilled(Prompt prompt, Map<String, Run> runs) {
		Run run = runs.get(prompt.id());
		return run != null && run.events() > 0;
	}

	private void recordPrefilled(long nowMillis, long tokens, long millis) {
		if (!prefillKnown(nowMillis)) {
			this.recentPrefill = DecayingRate.of(SHORT_HORIZON_MILLIS);
			this.averagePrefill = DecayingRate.of(LONG_HORIZON_MILLIS);
		}
		this.recentPrefill.record(nowMillis, tokens, millis);
		this.averagePrefill.record(nowMillis, tokens, millis);
		this.lastPrefillMillis = nowMillis;
	}

	private void recordDecoding(long nowMillis, long elapsedMillis, Map<String, Run> current, boolean withoutPrefill) {
		long tokens = 0;
		long millis = 0;
		for (Run run : current.values()) {
			Run last = this.lastRuns.get(run.id());
			if (last == null || last.events() == 0) {
				continue;
			}
			if (run.tokens() < last.tokens()) {
				this.rereading.add(run.id());
			}
			else if (run.events() > last.events() && this.rereading.remove(run.id())) {
				continue;
			}
			if (!this.rereading.contains(run.id())) {
				tokens += run.tokens() - last.tokens();
				millis += elapsedMillis;
			}
		}
		if (millis > 0) {
			boolean quiet = withoutPrefill && this.rereading.isEmpty();
			this.decode.record(nowMillis, tokens, millis);
			(quiet ? this.quietDecode : this.disturbedDecode).record(nowMillis, tokens, millis);
		}
	}

	private static boolean quiet(Map<String, Run> runs) {
		return runs.values().stream().noneMatch((run) -> run.events() == 0);
	}

	/**
	 * Returns the measured speed.
	 * @param nowMillis present time, in milliseconds
	 * @return the speed; each figure is unknown until its kind of work was observed
	 */
	public EngineSpeed speed(long nowMillis) {
		double average = this.averagePrefill.perMilli();
		double recent = prefillKnown(nowMillis)
				? this.recentPrefill.perMilli(nowMillis, average, LONG_TERM_WEIGHT_MILLIS) : EngineSpeed.UNKNOWN_FIGURE;
		return new EngineSpeed(recent * MILLIS_PER_SECOND, stepMillis(this.decode), stepMillis(this.quietDecode),
				stepMillis(this.disturbedDecode));
	}

	/**
	 * Estimates how much of a prompt is prefilled that the engine does not list yet.
	 * @param nowMillis present time, in milliseconds
	 * @param prompt the oldest of the admitted prompts that are not prefilled
	 * @return number of tokens; 0 if the prefill rate is not known or the engine lists
	 * such prompts
	 */
	public long prefilledTokens(long nowMillis, Prompt prompt) {
		if (this.listsUnread || !prefillKnown(nowMillis)) {
			return 0;
		}
		long beganMillis = Math.max(this.prefilledMillis, prompt.admittedMillis());
		double tokens = speed(nowMillis).prefillTokensPerSecond() * (nowMillis - beganMillis) / MILLIS_PER_SECOND;
		return Math.round(Math.max(0, Math.min(prompt.tokens(), tokens)));
	}

	private boolean prefillKnown(long nowMillis) {
		return this.averagePrefill.perMilli() > 0 && nowMillis - this.lastPrefillMillis <= MAX_PREFILL_AGE_MILLIS;
	}

	private static double stepMillis(DecayingRate tokens) {
		return (tokens.perMilli() > 0) ? 1 / tokens.perMilli() : EngineSpeed.UNKNOWN_FIGURE;
	}

	/**
	 * A prompt that was admitted. Immutable.
	 *
	 * @param id id of the attempt
	 * @param tokens tokens of the prompt
	 * @param admittedMillis when it was admitted, in milliseconds
	 */
	public record Prompt(String id, long tokens, long admittedMillis) {
	}

	/**
	 * A request that holds KV cache memory. Immutable.
	 *
	 * @param id id of the attempt that started it
	 * @param tokens tokens in the KV cache
	 * @param events number of events produced; 0 during prefill
	 */
	public record Run(String id, long tokens, long events) {
	}

}
