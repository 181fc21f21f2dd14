package io.dotterelcrank.process.rollout;

/**
 * A decision on a roll-out, as kept in the store. The first decision that the store
 * accepts after the one that it follows is in force. Immutable.
 *
 * @param service name of the service
 * @param version version of the order
 * @param orderOffset offset of the order in the operators' table
 * @param stage stage that begins with the decision
 * @param reason evidence of the decision, for operators
 */
public record RolloutDecision(String service, String version, long orderOffset, Stage stage, String reason) {

	/**
	 * Stages of a roll-out. Invariant: a roll-out leaves {@link #TRIAL} for
	 * {@link #SHIFTING} or {@link #ROLLED_BACK}, and {@link #SHIFTING} for
	 * {@link #COMPLETED} or {@link #ROLLED_BACK}; the last two are final.
	 */
	public enum Stage {

		/** A few targets of the new version get a small share of the requests. */
		TRIAL,

		/** New requests go to the new version; the old one ends what it runs. */
		SHIFTING,

		/** The old version runs nothing any more and may be stopped. */
		COMPLETED,

		/** The new version gets nothing. */
		ROLLED_BACK;

		/**
		 * Returns whether no other stage follows.
		 * @return {@code true} if the roll-out has ended
		 */
		public boolean isFinal() {
			return this == COMPLETED || this == ROLLED_BACK;
		}

	}

}
