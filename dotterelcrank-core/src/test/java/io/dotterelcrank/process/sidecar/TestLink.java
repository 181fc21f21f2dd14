package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;

/**
 * Link that records the messages sent.
 */
final class TestLink implements Link {

	final List<Message> sent = new ArrayList<>();

	boolean writable = true;

	@Override
	public synchronized void send(Message message) {
		this.sent.add(message);
	}

	@Override
	public boolean writable() {
		return this.writable;
	}

	@Override
	public void close() {
		this.writable = false;
	}

	@Override
	public String peerAddress() {
		return "test";
	}

}
