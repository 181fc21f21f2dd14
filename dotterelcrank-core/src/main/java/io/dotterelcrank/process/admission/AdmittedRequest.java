package io.dotterelcrank.process.admission;

/**
 * An admitted generation, or a plain call, which holds no KV cache memory. Mutable;
 * confined to the thread of its {@link AdmissionState}.
 */
public final class AdmittedRequest {

	private final String id;

	private final String workspace;

	private final int promptTokens;

	/** Maximum number of output tokens; 0 for plain calls. */
	private final int maxTokens;

	/** Distribution of output lengths, as estimated at admission. */
	private final LengthEstimator.Distribution lengthDistribution;

	private int produced;

	private AdmittedRequest(PendingRequest request, LengthEstimator.Distribution lengthDistribution) {
		this.id = request.id();
		this.workspace = request.workspace();
		this.promptTokens = request.promptTokens();
		this.maxTokens = request.maxTokens();
		this.lengthDistribution = lengthDistribution;
	}

	/**
	 * Creates an admitted request without output.
	 * @param request the request
	 * @param lengthDistribution output lengths of its workspace
	 * @return the admitted request
	 */
	public static AdmittedRequest of(PendingRequest request, LengthEstimator.Distribution lengthDistribution) {
		return new AdmittedRequest(request, lengthDistribution);
	}

	/**
	 * Updates the number of output tokens. It never falls.
	 * @param tokens output tokens so far
	 * @return number of new tokens
	 */
	int updateProduced(int tokens) {
		int newTokens = Math.max(0, tokens - this.produced);
		this.produced += newTokens;
		return newTokens;
	}

	/**
	 * Returns the probability that the generation still runs after more steps.
	 * @param steps number of steps ahead
	 * @return a probability; 0 if the steps reach the maximum number of tokens
	 */
	double probabilityStillRunning(double steps) {
		return (this.produced + steps >= this.maxTokens) ? 0
				: this.lengthDistribution.probabilityStillRunning(this.produced, steps);
	}

	/**
	 * Returns the KV cache memory held.
	 * @return prompt and output so far, in tokens
	 */
	int memoryTokens() {
		return this.promptTokens + this.produced;
	}

	/**
	 * Returns the maximum memory that the request can need.
	 * @return prompt and maximum output, in tokens; 0 for plain calls
	 */
	int maxMemoryTokens() {
		return this.promptTokens + this.maxTokens;
	}

	/**
	 * Returns the expected memory at the end of the generation.
	 * @return prompt and mean output, in tokens
	 */
	double expectedMemoryTokens() {
		return this.promptTokens + Math.min(this.maxTokens, Math.max(this.produced, this.lengthDistribution.mean()));
	}

	/**
	 * Returns the id.
	 * @return id of the attempt
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the workspace.
	 * @return workspace of the caller
	 */
	public String workspace() {
		return this.workspace;
	}

	/**
	 * Returns the output so far.
	 * @return number of output tokens
	 */
	public int produced() {
		return this.produced;
	}

}
