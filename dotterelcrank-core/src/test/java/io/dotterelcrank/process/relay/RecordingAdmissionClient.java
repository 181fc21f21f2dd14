package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.connection.Message;

/**
 * Records admission requests. Has no link to any sidecar until {@link #link} is called.
 */
final class RecordingAdmissionClient implements AdmissionClient {

	/** In the order of sending. */
	private final List<Message.AdmissionRequest> requests = new ArrayList<>();

	private boolean linked;

	@Override
	public boolean trySend(String engine, Message.AdmissionRequest request) {
		if (this.linked) {
			this.requests.add(request);
		}
		return this.linked;
	}

	void link() {
		this.linked = true;
	}

	int requestCount() {
		return this.requests.size();
	}

	Message.AdmissionRequest request(int index) {
		return this.requests.get(index);
	}

}
