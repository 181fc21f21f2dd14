package io.dotterelcrank.daemon.relay;

import io.dotterelcrank.common.PlatformException;

/**
 * Thrown when a call was not sent, as no connection could be opened.
 */
class NotConnectedException extends PlatformException {

	private static final long serialVersionUID = 1L;

	NotConnectedException(String message) {
		super(message);
	}

}
