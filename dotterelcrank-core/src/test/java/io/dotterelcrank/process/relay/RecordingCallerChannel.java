package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;

/**
 * Channel that records the response.
 */
class RecordingCallerChannel implements CallerChannel {

	/** 0 before the response has started. */
	private int status;

	private Failure failure;

	private final StringBuilder body = new StringBuilder();

	/** How often the response was ended; more than once is a fault. */
	private int endCount;

	/** Whether the response was ended as incomplete. */
	private boolean aborted;

	private boolean writable = true;

	/** Whether the caller has closed its connection. */
	private boolean closeUnread;

	@Override
	public void sendResponse(int responseStatus, List<Header> headers, byte[] bytes) {
		this.status = responseStatus;
		this.body.append(new String(bytes, StandardCharsets.UTF_8));
		this.endCount++;
	}

	@Override
	public void startResponse(int responseStatus, List<Header> headers) {
		this.status = responseStatus;
	}

	@Override
	public void write(byte[] piece) {
		this.body.append(new String(piece, StandardCharsets.UTF_8));
	}

	@Override
	public void end() {
		this.endCount++;
	}

	@Override
	public void sendError(Failure reported) {
		this.failure = reported;
		this.status = reported.code().httpStatus();
		this.endCount++;
	}

	@Override
	public void abort() {
		if (this.endCount > 0) {
			return;
		}
		this.aborted = true;
		this.endCount++;
	}

	@Override
	public boolean readArrived() {
		return !this.closeUnread;
	}

	/**
	 * Closes the caller's connection, which is not read before {@link #readArrived()}.
	 */
	void leave() {
		this.closeUnread = true;
	}

	@Override
	public boolean writable() {
		return this.writable;
	}

	void setWritable(boolean accepted) {
		this.writable = accepted;
	}

	int status() {
		return this.status;
	}

	Failure failure() {
		return this.failure;
	}

	String eventIds() {
		StringBuilder ids = new StringBuilder();
		for (String line : this.body.toString().split("\n")) {
			if (line.startsWith("id: ")) {
				ids.append(line.substring(4)).append(' ');
			}
		}
		return ids.toString().trim();
	}

	String body() {
		return this.body.toString();
	}

	int endCount() {
		return this.endCount;
	}

	boolean aborted() {
		return this.aborted;
	}

}
