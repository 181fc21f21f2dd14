package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.connection.Message;

/**
 * Sidecars that keep the questions that they are asked. Without links until told
 * otherwise.
 */
final class RecordingRooms implements AdmissionClient {

	/** Questions in the order in which they were asked. */
	private final List<Message.AdmissionRequest> questions = new ArrayList<>();

	/** Whether the sidecars are linked. */
	private boolean linked;

	@Override
	public boolean ask(String engine, Message.AdmissionRequest question) {
		if (this.linked) {
			this.questions.add(question);
		}
		return this.linked;
	}

	void link() {
		this.linked = true;
	}

	int count() {
		return this.questions.size();
	}

	Message.AdmissionRequest question(int index) {
		return this.questions.get(index);
	}

}
