package io.dotterelcrank.process.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What a sidecar knows about its target. Not thread-safe; belongs to the control thread.
 */
public final class AdmissionState {

	/** Standard deviations added to the forecast for each preemption. */
	private static final double CAUTION_PER_PREEMPTION = 0.25;

	/** Most standard deviations added to the forecast. */
	private static final double MOST_CAUTION = 2;

	/** Factor by which caution fades with each load report. */
	private static final double CAUTION_FADING = 0.99;

	/** Generations and calls admitted here, by id. */
	private final Map<String, Running> running = new HashMap<>();

	/** Number of admitted requests by workspace. */
	private final Map<String, Integer> byWorkspace = new HashMap<>();

	/** Learns output lengths. */
	private final LengthEstimator lengths = LengthEstimator.create();

	/** Learns step times. */
	private final StepTimeModel steps = StepTimeModel.create();

	/** Notices a target that turned cold. */
	private final ColdDetector detector = ColdDetector.create();

	/** Limit while warming up. */
	private final Ramp ramp;

	/** Size of the engine's memory in tokens; 0 while unknown. */
	private long memoryTokens;

	/** Memory held by generations that this sidecar did not admit, in tokens. */
	private long foreignTokens;

	/** Number of generations that this sidecar did not admit. */
	private int foreignRunning;

	/** Preemptions that the engine reported last. */
	private long preemptions;

	/** Standard deviations added to the forecast. */
	private double caution;

	/** Whether the last step was far slower than expected. */
	private boolean slow;

	/** Whether the step in progress takes far longer than expected. */
	private boolean overdue;

	/** Number of generations whose streams are interrupted. */
	private int recordInterruptedStreams;

	/** Step time observed last, in milliseconds. */
	private double stepMillis;

	private AdmissionState(Ramp ramp) {
		this.ramp = ramp;
	}

	/**
	 * Creates the state of a target about which nothing is known.
	 * @param coldLimit limit of a cold target
	 * @return a new state
	 */
	public static AdmissionState unknown(int coldLimit) {
		return new AdmissionState(Ramp.cold(coldLimit));
	}

	/**
	 * Takes in an admitted request.
	 * @param candidate the request
	 */
	public void admitted(PendingRequest candidate) {
		this.running.put(candidate.id(), Running.of(candidate, this.lengths.distribution(candidate.workspace())));
		this.byWorkspace.merge(candidate.workspace(), 1, Integer::sum);
	}

	/**
	 * Takes in progress of a generation.
	 * @param id id of the generation
	 * @param produced output tokens so far
	 */
	public void progressed(String id, int produced) {
		Running generation = this.running.get(id);
		if (generation != null) {
			this.ramp.produced(generation.produced(produced));
		}
	}

	/**
	 * Takes in the end of a request.
	 * @param id id of the request
	 * @param complete whether it ran to its end, so that its length teaches something
	 */
	public void ended(String id, boolean complete) {
		Running generation = this.running.remove(id);
		if (generation == null) {
			return;
		}
		this.byWorkspace.computeIfPresent(generation.workspace(), (name, count) -> (count > 1) ? count - 1 : null);
		if (complete && generation.mostMemoryTokens() > 0) {
			this.lengths.learn(generation.workspace(), generation.produced());
		}
		else if (complete) {
			this.ramp.completed();
		}
	}

	/**
	 * Takes in a load report of the engine.
	 * @param total size of the memory in tokens
	 * @param foreignUsed memory of generations not admitted here, in tokens
	 * @param foreignCount number of generations not admitted here
	 */
	public void recordMemory(long total, long foreignUsed, int foreignCount) {
		this.memoryTokens = total;
		this.foreignTokens = foreignUsed;
		this.foreignRunning = foreignCount;
	}

	/**
	 * Takes in a step time. Steps of a warming target do not teach the model.
	 * @param batch number of running generations
	 * @param millis duration of the step in milliseconds
	 * @return whether this step shows that the target turned cold
	 */
	public boolean stepObserved(int batch, double millis) {
		this.stepMillis = millis;
		double expected = this.ramp.warm() ? this.steps.predict(batch) : 0;
		ColdDetector.Finding finding = this.detector.observe(expected, millis);
		if (finding == ColdDetector.Finding.NORMAL && this.ramp.warm()) {
			this.steps.learn(batch, millis);
		}
		this.slow = finding == ColdDetector.Finding.SLOW;
		if (finding == ColdDetector.Finding.TURNED_COLD) {
			this.ramp.restart();
		}
		return finding == ColdDetector.Finding.TURNED_COLD;
	}

	/**
	 * Takes in that the streams of some generations are interrupted, so that the target
	 * may have restarted.
	 * @param count number of generations whose streams are interrupted now
	 */
	public void recordInterruptedStreams(int count) {
		this.recordInterruptedStreams = count;
	}

	/**
	 * Takes in how many generations the engine has preempted. New ones make the forecast
	 * more cautious for a time.
	 * @param count preemptions since the engine started
	 */
	public void recordPreemptions(long count) {
		long fresh = Math.max(0, count - this.preemptions);
		this.preemptions = count;
		this.caution = Math.min(MOST_CAUTION, this.caution * CAUTION_FADING + CAUTION_PER_PREEMPTION * fresh);
	}

	/**
	 * Returns the number of preemptions.
	 * @return preemptions that the engine reported last
	 */
	public long preemptions() {
		return this.preemptions;
	}

	/**
	 * Returns how much more cautious the forecast is than usual.
	 * @return standard deviations to add
	 */
	public double caution() {
		return this.caution;
	}

	/**
	 * Takes in how long no token has come, so that a step that takes far too long shows
	 * before it ends.
	 * @param millis time since the last token in milliseconds
	 */
	public void recordTokenGap(long millis) {
		double expected = this.ramp.warm() ? this.steps.predict(count()) : 0;
		this.overdue = expected > 0 && millis > ColdDetector.SLOW_FACTOR * expected;
	}

	/**
	 * Tells whether the target may have turned cold or restarted, which its next steps
	 * will show.
	 * @return {@code true} while nothing more should be given to it
	 */
	public boolean suspect() {
		return (this.slow || this.overdue || this.recordInterruptedStreams > 0) && count() > 0;
	}

	/**
	 * Starts the ramp again, since the target restarted or came back.
	 */
	public void restarted() {
		this.ramp.restart();
	}

	/**
	 * Returns the number of requests at the target.
	 * @return admitted here or by a predecessor
	 */
	public int count() {
		return this.running.size() + this.foreignRunning;
	}

	/**
	 * Returns the number of requests of a workspace.
	 * @param workspace the workspace
	 * @return number of admitted requests
	 */
	public int count(String workspace) {
		return this.byWorkspace.getOrDefault(workspace, 0);
	}

	/**
	 * Returns the number of workspaces with admitted requests.
	 * @return number of workspaces
	 */
	public int workspaceCount() {
		return this.byWorkspace.size();
	}

	/**
	 * Returns the admitted requests.
	 * @return a view
	 */
	public Collection<Running> running() {
		return this.running.values();
	}

	/**
	 * Returns the size of the engine's memory.
	 * @return size in tokens; 0 while unknown
	 */
	public long memoryTokens() {
		return this.memoryTokens;
	}

	/**
	 * Returns the memory that this sidecar does not manage.
	 * @return size in tokens
	 */
	public long foreignTokens() {
		return this.foreignTokens;
	}

	/**
	 * Returns the memory held by requests admitted here.
	 * @return prompts and outputs so far, in tokens
	 */
	public long ownTokens() {
		return this.running.values().stream().mapToLong(Running::memoryTokens).sum();
	}

	/**
	 * Returns the estimator of output lengths.
	 * @return the estimator
	 */
	public LengthEstimator lengths() {
		return this.lengths;
	}

	/**
	 * Returns the model of step times.
	 * @return the model
	 */
	public StepTimeModel steps() {
		return this.steps;
	}

	/**
	 * Returns the last step time.
	 * @return duration in milliseconds; 0 before the first step
	 */
	public double stepMillis() {
		return this.stepMillis;
	}

	/**
	 * Returns the ramp.
	 * @return limit while warming up
	 */
	public Ramp ramp() {
		return this.ramp;
	}

}
