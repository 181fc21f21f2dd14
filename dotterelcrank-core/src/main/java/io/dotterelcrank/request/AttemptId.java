package io.dotterelcrank.request;

import io.dotterelcrank.common.RendezvousHash;

/**
 * Makes and checks ids of attempts. An id carries a digest of its workspace, so that a
 * sidecar can refuse another workspace even for a generation of its predecessor.
 * Stateless.
 */
public final class AttemptId {

	/** Base in which numbers are written. */
	private static final int BASE = 36;

	private AttemptId() {
	}

	/**
	 * Makes an id.
	 * @param process name of the entry process
	 * @param incarnation start time of the entry process in milliseconds
	 * @param number number of the attempt in that process
	 * @param workspace workspace of the caller
	 * @return an id that no other attempt has
	 */
	public static String of(String process, long incarnation, long number, String workspace) {
		return process + '-' + Long.toString(incarnation, BASE) + '-' + Long.toString(number, BASE) + '-'
				+ digest(workspace);
	}

	/**
	 * Tells whether an attempt is of a workspace.
	 * @param id id of the attempt
	 * @param workspace the workspace
	 * @return {@code true} if the id carries its digest
	 */
	public static boolean belongsTo(String id, String workspace) {
		return id.endsWith('-' + digest(workspace));
	}

	private static String digest(String workspace) {
		return Long.toUnsignedString(RendezvousHash.hash(workspace), BASE);
	}

}
