package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;

/**
 * A caller that keeps its answer.
 */
final class RecordingCaller implements CallerChannel {

	/** Status of the answer; 0 before it. */
	private int status;

	/** Failure of the system, or {@code null}. */
	private Failure failure;

	/** Body so far. */
	private final StringBuilder body = new StringBuilder();

	/** Ends of the answer; more than one is a defect. */
	private int ends;

	/** Whether the answer was broken off. */
	private boolean aborted;

	@Override
	public void sendResponse(int answered, List<Header> headers, byte[] bytes) {
		this.status = answered;
		this.body.append(new String(bytes, StandardCharsets.UTF_8));
		this.ends++;
	}

	@Override
	public void startResponse(int answered, List<Header> headers) {
		this.status = answered;
	}

	@Override
	public void write(byte[] piece) {
		this.body.append(new String(piece, StandardCharsets.UTF_8));
	}

	@Override
	public void end() {
		this.ends++;
	}

	@Override
	public void sendError(Failure told) {
		this.failure = told;
		this.status = told.code().httpStatus();
		this.ends++;
	}

	@Override
	public void abort() {
		this.aborted = true;
		this.ends++;
	}

	@Override
	public boolean writable() {
		return true;
	}

	int status() {
		return this.status;
	}

	Failure failure() {
		return this.failure;
	}

	String ids() {
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

	int ends() {
		return this.ends;
	}

	boolean aborted() {
		return this.aborted;
	}

}
