package io.dotterelcrank.process.prefill;

/**
 * Decides how much unread prompt a generation may wait behind at an engine. Beyond it,
 * the generation waits at the entry host, where it can still go elsewhere.
 * Implementations are immutable.
 */
public interface PrefillBudget {

	/** Fraction of a latency goal that prefill of the prompts ahead may take. */
	double MAX_QUEUE_GOAL_FRACTION = 0.6;

	/**
	 * Returns the time that prefill of the prompts ahead may take.
	 * @param prompt prompt of the generation
	 * @return time in milliseconds
	 */
	long maxQueueMillis(Prompt prompt);

	/**
	 * Returns whether the generation leaves room for those with a shorter goal.
	 * @param prompt prompt of the generation
	 * @return {@code false} if none has a shorter goal, or its own is at risk
	 */
	boolean yields(Prompt prompt);

	/**
	 * Returns the budget for a mix of latency goals.
	 * @param shortestGoalMillis shortest goal in the mix, in milliseconds;
	 * {@link GoalMix#NO_GOAL} if none is known
	 * @return the budget
	 */
	static PrefillBudget of(long shortestGoalMillis) {
		return (shortestGoalMillis > 0) ? new ForMixedGoals(shortestGoalMillis) : new ForOneGoal();
	}

	/**
	 * Prompt that waits for an engine. Immutable.
	 *
	 * @param prefillMillis time that its own prefill takes, in milliseconds
	 * @param goalMillis latency goal of the generation, in milliseconds
	 * @param waitedMillis time since its arrival, in milliseconds
	 */
	record Prompt(long prefillMillis, long goalMillis, long waitedMillis) {
	}

	/**
	 * Allows each generation a part of its own goal.
	 */
	final class ForOneGoal implements PrefillBudget {

		@Override
		public long maxQueueMillis(Prompt prompt) {
			return Math.round(prompt.goalMillis() * MAX_QUEUE_GOAL_FRACTION);
		}

		@Override
		public boolean yields(Prompt prompt) {
			return false;
		}

	}

	/**
	 * Keeps the unread prompts of each engine within what the shortest goal leaves,
	 * whoever they belong to. Addresses the load pattern of prompts whose goals leave
	 * them seconds, which would fill the queues of all engines beyond what those with a
	 * short goal can wait. A generation with much time left is sent only where its own
	 * prompt fits within the limit too, so that those with a shorter goal find room; once
	 * its time runs short it is placed like them. Generations whose goal is not much
	 * longer than the shortest are treated as if there were one goal.
	 */
	final class ForMixedGoals implements PrefillBudget {

		/**
		 * Time for which any prompt may wait when it yields, in milliseconds: an engine
		 * must not run out of prompts before news of its queue has reached the hosts.
		 */
		static final long MIN_QUEUE_MILLIS = 150;

		private final long shortestGoalMillis;

		ForMixedGoals(long shortestGoalMillis) {
			this.shortestGoalMillis = shortestGoalMillis;
		}

		@Override
		public long maxQueueMillis(Prompt prompt) {
			long ownMillis = Math.round(prompt.goalMillis() * MAX_QUEUE_GOAL_FRACTION);
			if (!hasLongGoal(prompt)) {
				return ownMillis;
			}
			long sharedMillis = Math.round(this.shortestGoalMillis * MAX_QUEUE_GOAL_FRACTION);
			return yields(prompt) ? Math.max(MIN_QUEUE_MILLIS, sharedMillis - prompt.prefillMillis()) : sharedMillis;
		}

		@Override
		public boolean yields(Prompt prompt) {
			long remainingMillis = prompt.goalMillis() - prompt.waitedMillis() - prompt.prefillMillis();
			return hasLongGoal(prompt) && remainingMillis > this.shortestGoalMillis;
		}

		/**
		 * Returns whether the goal leaves the shortest goal's time after a wait for as
		 * much as an engine may hold.
		 * @param prompt prompt of the generation
		 * @return {@code false} if yielding would put the goal at risk
		 */
		private boolean hasLongGoal(Prompt prompt) {
			return prompt.goalMillis() >= (1 + MAX_QUEUE_GOAL_FRACTION) * this.shortestGoalMillis;
		}

	}

}
