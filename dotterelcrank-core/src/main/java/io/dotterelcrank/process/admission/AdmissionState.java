package io.dotterelcrank.process.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Load and health of the target of a sidecar, as far as admission needs them. Not
 * thread-safe; confined to the control thread.
 */
public final class AdmissionState {

	/** Standard deviations added to the memory forecast by each preemption. */
	private static final double DEVIATIONS_PER_PREEMPTION = 0.25;

	/** Maximum of the standard deviations added to the memory forecast. */
	private static final double MAX_EXTRA_DEVIATIONS = 2;

	/** Decay factor of the added standard deviations per load report. */
	private static final double EXTRA_DEVIATIONS_DECAY = 0.99;

	/** Generations and calls admitted by this sidecar, by id. */
	private final Map<String, AdmittedRequest> admittedRequests = new HashMap<>();

	private final Map<String, Integer> requestsByWorkspace = new HashMap<>();

	private final LengthEstimator lengths = LengthEstimator.create();

	private final StepTimeModel stepTimes = StepTimeModel.create();

	private final ColdDetector coldDetector = ColdDetector.create();

	private final Ramp ramp;

	/** Size of the KV cache memory in tokens; 0 while unknown, and for plain services. */
	private long memoryTokens;

	/**
	 * Memory held by generations that a predecessor of this sidecar admitted, in tokens.
	 */
	private long foreignTokens;

	private int foreignRequests;

	/** Preemptions since the engine started, by its last report. */
	private long preemptions;

	/** Standard deviations added to the memory forecast after preemptions. */
	private double extraDeviations;

	/** Whether the last step was {@link ColdDetector.Finding#SLOW}. */
	private boolean lastStepSlow;

	/** Whether the current step takes far longer than expected. */
	private boolean stepOverdue;

	private int interruptedStreams;

	/** Last step time in milliseconds; 0 before the first step. */
	private double stepMillis;

	private AdmissionState(Ramp ramp) {
		this.ramp = ramp;
	}

	/**
	 * Creates the state of a cold target that has not reported yet.
	 * @param coldLimit concurrency limit of a cold target, at least 1
	 * @return a new state
	 */
	public static AdmissionState cold(int coldLimit) {
		return new AdmissionState(Ramp.cold(coldLimit));
	}

	/**
	 * Records the admission of a request.
	 * @param request the request
	 */
	public void recordAdmission(PendingRequest request) {
		this.admittedRequests.put(request.id(),
				AdmittedRequest.of(request, this.lengths.distribution(request.workspace())));
		this.requestsByWorkspace.merge(request.workspace(), 1, Integer::sum);
	}

	/**
	 * Records the progress of a generation. Unknown ids are ignored.
	 * @param id id of the generation
	 * @param producedTokens output tokens so far
	 */
	public void recordProgress(String id, int producedTokens) {
		AdmittedRequest request = this.admittedRequests.get(id);
		if (request != null) {
			this.ramp.recordTokens(request.updateProduced(producedTokens));
		}
	}

	/**
	 * Records the end of a request. The length of a completed generation is learned; a
	 * completed plain call counts as work of the ramp. Unknown ids are ignored.
	 * @param id id of the request
	 * @param completed whether it completed, so that its length can be learned
	 */
	public void recordEnd(String id, boolean completed) {
		AdmittedRequest request = this.admittedRequests.remove(id);
		if (request == null) {
			return;
		}
		this.requestsByWorkspace.computeIfPresent(request.workspace(), (name, count) -> (count > 1) ? count - 1 : null);
		if (completed && request.maxMemoryTokens() > 0) {
			this.lengths.recordLength(request.workspace(), request.produced());
		}
		else if (completed) {
			this.ramp.recordCompletedCall();
		}
	}

	/**
	 * Records the memory figures of an engine's load report.
	 * @param totalTokens size of the KV cache memory in tokens
	 * @param foreignUsedTokens memory of generations not admitted here, in tokens
	 * @param foreignCount number of generations not admitted here
	 */
	public void recordMemory(long totalTokens, long foreignUsedTokens, int foreignCount) {
		this.memoryTokens = totalTokens;
		this.foreignTokens = foreignUsedTokens;
		this.foreignRequests = foreignCount;
	}

	/**
	 * Records a step time. The model learns only from normal steps of a warm target.
	 * @param batchSize number of running generations
	 * @param observedMillis duration of the step in milliseconds
	 * @return {@code true} if this step shows that the target turned cold
	 */
	public boolean recordStepTime(int batchSize, double observedMillis) {
		this.stepMillis = observedMillis;
		double expectedMillis = this.ramp.warm() ? this.stepTimes.predict(batchSize) : 0;
		ColdDetector.Finding finding = this.coldDetector.recordStepTime(expectedMillis, observedMillis);
		if (finding == ColdDetector.Finding.NORMAL && this.ramp.warm()) {
			this.stepTimes.learn(batchSize, observedMillis);
		}
		this.lastStepSlow = finding == ColdDetector.Finding.SLOW;
		if (finding == ColdDetector.Finding.TURNED_COLD) {
			this.ramp.restart();
		}
		return finding == ColdDetector.Finding.TURNED_COLD;
	}

	/**
	 * Records how many streams are interrupted. While there are any, the target may have
	 * restarted.
	 * @param count number of generations whose streams are interrupted now
	 */
	public void recordInterruptedStreams(int count) {
		this.interruptedStreams = count;
	}

	/**
	 * Records the engine's preemption count. New preemptions raise the memory forecast
	 * for a time.
	 * @param count preemptions since the engine started
	 */
	public void recordPreemptions(long count) {
		long newPreemptions = Math.max(0, count - this.preemptions);
		this.preemptions = count;
		this.extraDeviations = Math.min(MAX_EXTRA_DEVIATIONS,
				this.extraDeviations * EXTRA_DEVIATIONS_DECAY + DEVIATIONS_PER_PREEMPTION * newPreemptions);
	}

	/**
	 * Returns the engine's preemption count.
	 * @return preemptions since the engine started, by its last report
	 */
	public long preemptions() {
		return this.preemptions;
	}

	/**
	 * Returns the safety margin added to the memory forecast after preemptions.
	 * @return standard deviations to add; 0 if there were none lately
	 */
	public double extraDeviations() {
		return this.extraDeviations;
	}

	/**
	 * Records the time without a token, so that a step that takes far too long is noticed
	 * before it ends.
	 * @param silentMillis time since the last token in milliseconds
	 */
	public void recordTokenGap(long silentMillis) {
		double expectedMillis = this.ramp.warm() ? this.stepTimes.predict(requestCount()) : 0;
		this.stepOverdue = expectedMillis > 0 && silentMillis > ColdDetector.SLOW_FACTOR * expectedMillis;
	}

	/**
	 * Returns whether the target may have turned cold or restarted: a step was slow or is
	 * overdue, or streams are interrupted. The next steps resolve that.
	 * @return {@code true} while nothing more should be admitted
	 */
	public boolean mayBeCold() {
		return (this.lastStepSlow || this.stepOverdue || this.interruptedStreams > 0) && requestCount() > 0;
	}

	/**
	 * Restarts the ramp after the target restarted or became reachable again.
	 */
	public void restartRamp() {
		this.ramp.restart();
	}

	/**
	 * Returns the number of requests at the target.
	 * @return requests admitted by this sidecar or by a predecessor
	 */
	public int requestCount() {
		return this.admittedRequests.size() + this.foreignRequests;
	}

	/**
	 * Returns the number of requests of a workspace.
	 * @param workspace the workspace
	 * @return requests admitted by this sidecar
	 */
	public int requestCount(String workspace) {
		return this.requestsByWorkspace.getOrDefault(workspace, 0);
	}

	/**
	 * Returns the number of workspaces with admitted requests.
	 * @return number of workspaces
	 */
	public int workspaceCount() {
		return this.requestsByWorkspace.size();
	}

	/**
	 * Returns the requests admitted by this sidecar.
	 * @return a live view
	 */
	public Collection<AdmittedRequest> admittedRequests() {
		return this.admittedRequests.values();
	}

	/**
	 * Returns the size of the KV cache memory.
	 * @return size in tokens; 0 while unknown, and for plain services
	 */
	public long memoryTokens() {
		return this.memoryTokens;
	}

	/**
	 * Returns the memory held by generations that a predecessor admitted.
	 * @return size in tokens, by the engine's last report
	 */
	public long foreignTokens() {
		return this.foreignTokens;
	}

	/**
	 * Returns the memory held by requests that this sidecar admitted.
	 * @return prompts and outputs so far, in tokens
	 */
	public long admittedTokens() {
		return this.admittedRequests.values().stream().mapToLong(AdmittedRequest::memoryTokens).sum();
	}

	/**
	 * Returns the estimator of output lengths.
	 * @return the estimator, fed by completed requests
	 */
	public LengthEstimator lengths() {
		return this.lengths;
	}

	/**
	 * Returns the model of step times.
	 * @return the model, fed by normal steps of the warm target
	 */
	public StepTimeModel stepTimes() {
		return this.stepTimes;
	}

	/**
	 * Returns the last step time.
	 * @return duration in milliseconds; 0 before the first step
	 */
	public double stepMillis() {
		return this.stepMillis;
	}

	/**
	 * Returns the slow-start ramp.
	 * @return the concurrency limit while the target warms up
	 */
	public Ramp ramp() {
		return this.ramp;
	}

}
