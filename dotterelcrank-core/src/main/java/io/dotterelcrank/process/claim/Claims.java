package io.dotterelcrank.process.claim;

import io.dotterelcrank.request.ServiceCall;

/**
 * Decides through the log which process runs a keyed call. Calls and outcomes belong to
 * the control thread of the process.
 */
public interface Claims {

	/**
	 * Claims the key of a call for this process.
	 * @param call the call; its id becomes the id of the claim
	 * @param listener hears the outcome once
	 */
	void claim(ServiceCall call, Listener listener);

	/**
	 * Tells that a claimed call did not run and never will, so that its key is free
	 * again.
	 * @param key the key
	 * @param claimId id of the claim
	 */
	void release(ClaimKey key, String claimId);

	/**
	 * Tells that a claimed call ran to its end.
	 * @param key the key
	 * @param claimId id of the claim
	 */
	void done(ClaimKey key, String claimId);

	/**
	 * Gives up a claim whose outcome is open. Its listener hears nothing more, and this
	 * process will never run the call.
	 * @param key the key
	 * @param claimId id of the claim
	 */
	void abandon(ClaimKey key, String claimId);

	/**
	 * Hears the outcome of a claim.
	 */
	interface Listener {

		/**
		 * The claim won: this process, and no other, may run the call, once.
		 */
		void won();

		/**
		 * Another claim holds the key.
		 * @param holder the claim that holds it
		 */
		void lost(ClaimLedger.Holder holder);

		/**
		 * The log did not confirm the claim in time. This process will never run the
		 * call.
		 */
		void unconfirmed();

	}

}
