package io.dotterelcrank.process.admission;

/**
 * A generation that holds engine memory. Mutable; belongs to the thread of its
 * {@link AdmissionState}.
 */
public final class Running {

	/** Id of the generation. */
	private final String id;

	/** Workspace of the caller. */
	private final String workspace;

	/** Length of the prompt in tokens. */
	private final int promptTokens;

	/** Largest number of output tokens. */
	private final int maxTokens;

	/** Distribution of output lengths as known at admission. */
	private final LengthEstimator.Distribution lengths;

	/** Output tokens so far. */
	private int produced;

	private Running(PendingRequest candidate, LengthEstimator.Distribution lengths) {
		this.id = candidate.id();
		this.workspace = candidate.workspace();
		this.promptTokens = candidate.promptTokens();
		this.maxTokens = candidate.maxTokens();
		this.lengths = lengths;
	}

	/**
	 * Creates a generation that has produced nothing.
	 * @param candidate the request
	 * @param lengths distribution of output lengths of its workspace
	 * @return a new running generation
	 */
	public static Running of(PendingRequest candidate, LengthEstimator.Distribution lengths) {
		return new Running(candidate, lengths);
	}

	/**
	 * Sets how many tokens have been produced.
	 * @param tokens output tokens so far
	 * @return number of tokens that are new
	 */
	int produced(int tokens) {
		int fresh = Math.max(0, tokens - this.produced);
		this.produced += fresh;
		return fresh;
	}

	/**
	 * Returns the probability that the generation still runs after more steps.
	 * @param steps number of steps ahead
	 * @return a probability; 0 once the largest number of tokens is reached
	 */
	double stillRunning(double steps) {
		return (this.produced + steps >= this.maxTokens) ? 0 : this.lengths.stillRunning(this.produced, steps);
	}

	/**
	 * Returns the memory held.
	 * @return prompt and output so far, in tokens
	 */
	int memoryTokens() {
		return this.promptTokens + this.produced;
	}

	/**
	 * Returns the most memory that the generation can need.
	 * @return prompt and largest output, in tokens
	 */
	int mostMemoryTokens() {
		return this.promptTokens + this.maxTokens;
	}

	/**
	 * Returns the mean memory at its end.
	 * @return prompt and mean output, in tokens
	 */
	double meanMemoryTokens() {
		return this.promptTokens + Math.min(this.maxTokens, Math.max(this.produced, this.lengths.mean()));
	}

	/**
	 * Returns the id.
	 * @return id of the generation
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
	 * @return output tokens
	 */
	public int produced() {
		return this.produced;
	}

}
