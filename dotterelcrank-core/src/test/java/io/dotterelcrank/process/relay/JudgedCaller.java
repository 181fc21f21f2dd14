package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.version.plan.RequestKind;

/**
 * A caller that notes what is wrong with its answer: a second one, one inside a stream,
 * events that are missing, come twice or belong to another request. Confined to one
 * thread.
 */
final class JudgedCaller implements CallerChannel {

	private final Clock clock;

	private final String id;

	private final RequestKind kind;

	private final long timeoutAtMillis;

	/** Number of events of the whole stream. */
	private final int totalEvents;

	private final List<String> faults = new ArrayList<>();

	/** Received bytes that are no whole event yet. */
	private String rest = "";

	/** Last event that it has, from this response or from the one that it resumes. */
	private int lastEventId;

	private boolean started;

	private boolean gone;

	private boolean writable = true;

	/** Outcome of the request; empty before its end. */
	private String outcome = "";

	private boolean saidNotRun;

	private long endedMillis;

	JudgedCaller(Clock clock, String id, RequestKind kind, long timeoutAtMillis, int totalEvents, int resumedAfter) {
		this.clock = clock;
		this.id = id;
		this.kind = kind;
		this.timeoutAtMillis = timeoutAtMillis;
		this.totalEvents = totalEvents;
		this.lastEventId = resumedAfter;
	}

	private void finish(String what) {
		if (this.gone || answered()) {
			return;
		}
		this.outcome = what;
		this.endedMillis = this.clock.millis();
	}

	@Override
	public void sendResponse(int status, List<Header> headers, byte[] body) {
		if (this.gone || answered()) {
			return;
		}
		if (this.started) {
			this.faults.add("response " + status + " inside a stream");
		}
		if (!new String(body, StandardCharsets.UTF_8).equals(this.id)) {
			this.faults.add("body of another request");
		}
		this.saidNotRun = ExecutionLedger.promisesNotRun(status, Ran.UNKNOWN);
		finish("response " + status);
	}

	@Override
	public void startResponse(int status, List<Header> headers) {
		if (this.started) {
			this.faults.add("second start of a stream");
		}
		this.started = true;
	}

	@Override
	public void write(byte[] piece) {
		if (this.gone || answered()) {
			return;
		}
		this.rest += new String(piece, StandardCharsets.UTF_8);
		int end = this.rest.indexOf("\n\n");
		while (end >= 0) {
			checkEvent(this.rest.substring(0, end));
			this.rest = this.rest.substring(end + 2);
			end = this.rest.indexOf("\n\n");
		}
	}

	private void checkEvent(String event) {
		this.lastEventId++;
		if (!event.equals("id: " + this.lastEventId + "\ndata: " + this.id)) {
			this.faults.add("event " + event.replace('\n', ' ') + " instead of " + this.lastEventId);
		}
	}

	@Override
	public void end() {
		if (!this.gone && !answered() && (this.lastEventId != this.totalEvents || !this.rest.isEmpty())) {
			this.faults.add("complete after " + this.lastEventId + " of " + this.totalEvents + " events");
		}
		finish("stream");
	}

	@Override
	public void sendError(Failure failure) {
		if (this.gone || answered()) {
			return;
		}
		if (this.started) {
			this.faults.add("error inside a stream");
		}
		this.saidNotRun = ExecutionLedger.promisesNotRun(failure.code().httpStatus(), failure.ran());
		finish(failure.code() + " " + failure.ran() + ' ' + failure.message());
	}

	@Override
	public void abort() {
		finish("aborted");
	}

	@Override
	public boolean readArrived() {
		return true;
	}

	@Override
	public boolean writable() {
		return this.writable;
	}

	void setWritable(boolean accepts) {
		this.writable = accepts;
	}

	void leave() {
		this.gone = true;
	}

	String id() {
		return this.id;
	}

	RequestKind kind() {
		return this.kind;
	}

	long timeoutAtMillis() {
		return this.timeoutAtMillis;
	}

	List<String> faults() {
		return this.faults;
	}

	boolean gone() {
		return this.gone;
	}

	boolean answered() {
		return !this.outcome.isEmpty();
	}

	boolean saidNotRun() {
		return this.saidNotRun;
	}

	long endedMillis() {
		return this.endedMillis;
	}

	String outcome() {
		return this.outcome;
	}

	@Override
	public String toString() {
		return this.id + ' ' + this.kind + " [" + this.outcome + "] at " + this.endedMillis;
	}

}
