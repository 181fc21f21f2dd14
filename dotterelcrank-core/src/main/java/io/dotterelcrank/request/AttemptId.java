package io.dotterelcrank.request;

import io.dotterelcrank.common.RendezvousHash;

/**
 * Creates and checks attempt ids. An id contains a digest of its workspace, so that a
 * sidecar can reject other workspaces even for a generation that its previous incarnation
 * started. Stateless.
 */
public final class AttemptId {

	private static final int BASE = 36;

	private AttemptId() {
	}

	/**
	 * Creates an id.
	 * @param process name of the entry process
	 * @param incarnation start time of the entry process in milliseconds
	 * @param sequenceNumber number of the attempt, unique within that incarnation
	 * @param workspace workspace of the caller
	 * @return globally unique id
	 */
	public static String of(String process, long incarnation, long sequenceNumber, String workspace) {
		return process + '-' + Long.toString(incarnation, BASE) + '-' + Long.toString(sequenceNumber, BASE) + '-'
				+ digest(workspace);
	}

	/**
	 * Returns whether an attempt belongs to a workspace.
	 * @param id id of the attempt
	 * @param workspace workspace to check
	 * @return {@code true} if the id ends with the digest of the workspace
	 */
	public static boolean belongsTo(String id, String workspace) {
		return id.endsWith('-' + digest(workspace));
	}

	private static String digest(String workspace) {
		return Long.toUnsignedString(RendezvousHash.hash(workspace), BASE);
	}

}
