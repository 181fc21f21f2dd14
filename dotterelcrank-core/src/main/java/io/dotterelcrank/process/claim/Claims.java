package io.dotterelcrank.process.claim;

import io.dotterelcrank.request.ServiceCall;

/**
 * Claims on idempotency keys: decides through the log which process runs a call with a
 * key. Methods and listeners are called on the control thread of the process.
 */
public interface Claims {

	/**
	 * Claims the key of a call for this process.
	 * @param call the call; its id becomes the id of the claim
	 * @param listener notified of the outcome, once
	 */
	void claim(ServiceCall call, Listener listener);

	/**
	 * Releases the claim of a call that did not run and never will, so that its key
	 * becomes free.
	 * @param key the key
	 * @param claimId id of the claim
	 */
	void release(ClaimKey key, String claimId);

	/**
	 * Records that a claimed call completed.
	 * @param key the key
	 * @param claimId id of the claim
	 */
	void recordCompleted(ClaimKey key, String claimId);

	/**
	 * Abandons a claim whose outcome is open. Its listener is not notified any more, and
	 * this process will never run the call.
	 * @param key the key
	 * @param claimId id of the claim
	 */
	void abandon(ClaimKey key, String claimId);

	/**
	 * Receives the outcome of a claim.
	 */
	interface Listener {

		/**
		 * The claim holds the key: this process, and no other, may run the call, once.
		 */
		void won();

		/**
		 * Another claim holds the key.
		 * @param holder the claim that holds it
		 */
		void lost(ClaimLedger.Holder holder);

		/**
		 * The claim is not confirmed: the log did not respond before the deadline of the
		 * call, or a claim whose record expired unread may hold the key. This process
		 * will never run the call.
		 */
		void unconfirmed();

	}

}
