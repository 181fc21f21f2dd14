package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

/**
 * Decides at a sidecar which requests its engine takes. Answers the load pattern of many
 * entry hosts that read the same report and all choose the engine that was free a moment
 * ago. Invariant: a granted request counts until the engine's report shows that it has
 * read the prompt, or that it does not know the request. Not thread-safe.
 */
public final class AdmissionLedger {

	/**
	 * Prompt tokens to read beyond those that the asking host knew of, up to which it is
	 * not sent elsewhere; half a prompt, which is read in about 0.15 s.
	 */
	static final long SURPRISE_TOKENS = 1_000;

	/**
	 * Time for which a granted request may be missing from the engine's report, in
	 * milliseconds; connections are opened within 400 ms.
	 */
	static final long UNSEEN_MILLIS = 1_000;

	/** Clock of the process. */
	private final Clock clock;

	/** Granted requests whose prompts are not read yet, by their ids, oldest first. */
	private final Map<String, Grant> grants = new LinkedHashMap<>();

	/** Tokens that requests hold which have produced no event, by their ids. */
	private Map<String, Long> reading = Map.of();

	/** Load last reported, or {@code null} before the first report. */
	private EngineLoad reported;

	private AdmissionLedger(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates an empty ledger.
	 * @param clock clock of the process
	 * @return a new ledger
	 */
	public static AdmissionLedger of(Clock clock) {
		return new AdmissionLedger(clock);
	}

	/**
	 * Takes in what the engine reports.
	 * @param load the load, with the engine's name
	 * @param runs requests that hold memory there
	 */
	public void updateLoad(EngineLoad load, List<EngineReport.ActiveRequest> runs) {
		if (this.reported != null && this.reported.bornMillis() != load.bornMillis()) {
			this.grants.clear();
		}
		this.reported = load;
		Map<String, Long> unstarted = new HashMap<>();
		Set<String> started = new HashSet<>();
		for (EngineReport.ActiveRequest run : runs) {
			if (run.events() == 0) {
				unstarted.put(run.id(), run.tokens());
			}
			else {
				started.add(run.id());
			}
		}
		this.reading = unstarted;
		this.grants.keySet().removeAll(started);
		forgetUnseen(load.waiting());
	}

	/**
	 * Forgets granted requests that never arrived: those that the engine has not shown
	 * for {@link #UNSEEN_MILLIS}, but for as many as wait there unnamed.
	 * @param waiting requests that wait at the engine
	 */
	private void forgetUnseen(int waiting) {
		long grantedBefore = this.clock.millis() - UNSEEN_MILLIS;
		List<String> unseen = this.grants.entrySet()
			.stream()
			.filter((grant) -> !this.reading.containsKey(grant.getKey()) && grant.getValue().atMillis() < grantedBefore)
			.map(Map.Entry::getKey)
			.toList();
		unseen.stream().limit(Math.max(0, unseen.size() - waiting)).forEach(this.grants::remove);
	}

	/**
	 * Returns the engine's load with what was granted since it was reported.
	 * @return the load, or {@code null} before the first report
	 */
	public EngineLoad load() {
		return (this.reported != null) ? this.reported.withUnreadTokens(unreadTokens()) : null;
	}

	private long unreadTokens() {
		long tokens = 0;
		int unseen = 0;
		for (Map.Entry<String, Grant> grant : this.grants.entrySet()) {
			Long held = this.reading.get(grant.getKey());
			tokens += Math.max(0, grant.getValue().promptTokens() - ((held != null) ? held : 0));
			unseen += (held != null) ? 0 : 1;
		}
		for (Map.Entry<String, Long> run : this.reading.entrySet()) {
			if (!this.grants.containsKey(run.getKey())) {
				tokens += Math.max(0, PlacementStrategy.ForEngines.FOREIGN_UNREAD_TOKENS - run.getValue());
			}
		}
		int strangers = Math.max(0, this.reported.waiting() - unseen);
		return tokens + strangers * PlacementStrategy.ForEngines.FOREIGN_UNREAD_TOKENS;
	}

	/**
	 * Decides whether the engine takes a request, and counts it if so.
	 * @param question what the request needs
	 * @return {@code true} if it may be sent now
	 */
	public boolean tryAdmit(Message.AdmissionRequest question) {
		EngineLoad load = load();
		if (load == null || load.leaving()) {
			return false;
		}
		boolean crowded = load.unreadTokens() > question.knownUnreadTokens() + SURPRISE_TOKENS;
		boolean idle = load.running() == 0 && load.waiting() == 0 && this.grants.isEmpty();
		boolean fits = PlacementStrategy.ForEngines.fits(load, question.expectedTokens(), load.memoryTotal());
		if (crowded || (!fits && !idle)) {
			return false;
		}
		this.grants.put(question.id(), new Grant(question.promptTokens(), this.clock.millis()));
		return true;
	}

	/**
	 * A granted request. Immutable.
	 *
	 * @param promptTokens tokens of its prompt
	 * @param atMillis when it was granted, in milliseconds
	 */
	private record Grant(long promptTokens, long atMillis) {
	}

}
