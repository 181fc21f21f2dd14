package io.dotterelcrank.connection;

import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes the messages of daemons that relay requests, in a class loader of
 * its own. Stateless.
 */
public final class RelayMessageTrip implements Runnable {

	@Override
	public void run() {
		MessageCodec codec = MessageCodec.create();
		try {
			for (Message message : RelayMessages.all()) {
				codec.decode(codec.encode(message, 1));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
