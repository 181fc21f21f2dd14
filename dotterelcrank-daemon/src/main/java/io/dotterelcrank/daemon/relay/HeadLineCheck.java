package io.dotterelcrank.daemon.relay;

import io.netty.buffer.ByteBuf;

/**
 * Looks for lines without a colon in the head of a response. The codec reads such a line
 * as a header up to its first space and drops the rest, which may be the status line of
 * the response behind a piece of another one. Confined to the event loop of its
 * connection.
 */
final class HeadLineCheck {

	/** Whether the status line has ended. */
	private boolean statusLineRead;

	/** Whether a header has ended, which further lines may continue. */
	private boolean headerRead;

	/** Whether the present line has anything but white space and control characters. */
	private boolean lineHasText;

	private boolean lineHasColon;

	private boolean lineContinuesHeader;

	private boolean lineStarted;

	private boolean colonMissing;

	/**
	 * Reads bytes of the head that were decoded.
	 * @param buffer buffer that contains them; its indices are not changed
	 * @param from index of the first one
	 * @param to index behind the last one
	 */
	void read(ByteBuf buffer, int from, int to) {
		for (int i = from; i < to; i++) {
			read(buffer.getByte(i));
		}
	}

	private void read(byte letter) {
		if (letter == '\n') {
			endLine();
			return;
		}
		boolean space = letter == ' ' || letter == '\t';
		this.lineContinuesHeader |= !this.lineStarted && space && this.headerRead;
		this.lineStarted = true;
		this.lineHasColon |= letter == ':';
		this.lineHasText |= letter < 0 || letter > ' ';
	}

	private void endLine() {
		if (!this.statusLineRead) {
			this.statusLineRead = this.lineHasText;
		}
		else if (this.lineHasText) {
			this.colonMissing |= !this.lineHasColon && !this.lineContinuesHeader;
			this.headerRead = true;
		}
		this.lineStarted = false;
		this.lineHasText = false;
		this.lineHasColon = false;
		this.lineContinuesHeader = false;
	}

	/**
	 * Ends the head.
	 * @return whether one of its lines had no colon
	 */
	boolean endHead() {
		boolean missing = this.colonMissing;
		this.statusLineRead = false;
		this.headerRead = false;
		this.colonMissing = false;
		return missing;
	}

}
