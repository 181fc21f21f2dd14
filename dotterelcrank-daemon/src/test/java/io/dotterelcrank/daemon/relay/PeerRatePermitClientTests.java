package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.limit.PermitIssuerChoice;
import io.dotterelcrank.process.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerRatePermitClient} with two hosts that may issue permits.
 */
class PeerRatePermitClientTests {

	private static final Message.RatePermitRequest REQUEST = new Message.RatePermitRequest("t", true, 1, 0);

	private static final Message.RatePermit PERMIT = new Message.RatePermit("t", true, true, 0);

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual control = Scheduler.manual(this.clock);

	private final IssuerTransport transport = new IssuerTransport();

	private final List<Message.RatePermit> permits = new ArrayList<>();

	private final PeerRatePermitClient client = new PeerRatePermitClient(this.transport, this.control, this.clock,
			"self", () -> List.of(member("a", 1), member("b", 2)), (request) -> {
			}, this.permits::add);

	private static Member member(String name, int port) {
		return new Member(name, new InetSocketAddress("10.0.0.1", port), "dc");
	}

	private void request() {
		this.client.send(REQUEST);
		this.control.runDue();
	}

	@Test
	void anotherHostIsAskedIfTheFirstIsSilent() {
		request();
		this.control.advance(PermitIssuerChoice.RESPONSE_TIMEOUT_MILLIS);
		request();
		assertThat(this.transport.links).hasSize(2);
	}

	/** Two hosts issued the permits of one target at the same time. */
	@Test
	void noOtherHostIsAskedIfAPermitHasArrivedThatIsUnread() {
		request();
		IssuerLink link = this.transport.links.get(0);
		this.control.advance(PermitIssuerChoice.RESPONSE_TIMEOUT_MILLIS);
		link.unread = () -> link.listener.received(link, 0, PERMIT);
		request();
		assertThat(this.transport.links).hasSize(1);
		assertThat(link.sent).containsExactly(REQUEST, REQUEST);
		assertThat(this.permits).containsExactly(PERMIT);
	}

	/**
	 * Records the links.
	 */
	private static final class IssuerTransport implements Transport {

		private final List<IssuerLink> links = new ArrayList<>();

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) {
			throw new UnsupportedOperationException("nothing listens in this test");
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener listener) {
			IssuerLink link = new IssuerLink(listener);
			this.links.add(link);
			return link;
		}

		@Override
		public Traffic traffic() {
			return new Traffic(0, 0, 0, 0);
		}

		@Override
		public void close() {
			// Nothing is open.
		}

	}

	/**
	 * A link whose other side is the test.
	 */
	private static final class IssuerLink implements Link {

		private final Link.Listener listener;

		private final List<Message> sent = new ArrayList<>();

		/** Passes on what has arrived and is not read. */
		private Runnable unread = () -> {
		};

		IssuerLink(Link.Listener listener) {
			this.listener = listener;
		}

		@Override
		public void send(Message message) {
			this.sent.add(message);
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public void close() {
			this.listener.closed(this);
		}

		@Override
		public void runAfterReads(Runnable task) {
			this.unread.run();
			task.run();
		}

		@Override
		public String peerAddress() {
			return "issuer";
		}

	}

}
