package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerRetryLoanClient} with one peer whose responses come late, twice or
 * without a request.
 */
class PeerRetryLoanClientTests {

	private static final Message.RetryLoan LOAN = new Message.RetryLoan("s", true);

	private static final Message.RetryLoan REFUSAL = new Message.RetryLoan("s", false);

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual control = Scheduler.manual(this.clock);

	private final PeerTransport transport = new PeerTransport();

	private final List<String> loans = new ArrayList<>();

	private final PeerRetryLoanClient client = new PeerRetryLoanClient(this.transport, this.control, this.clock,
			() -> List.of(new InetSocketAddress("10.0.0.1", 80)), this.loans::add,
			RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private void request(String service) {
		this.control.advance(PeerRetryLoanClient.MIN_INTERVAL_MILLIS);
		this.client.requestLoan(service);
		this.control.advance(0);
	}

	private void respond(Message response) {
		this.transport.listener.received(this.transport.link, 0, response);
		this.control.advance(0);
	}

	@Test
	void eachRequestGetsItsLoan() {
		request("s");
		request("t");
		respond(LOAN);
		respond(new Message.RetryLoan("t", true));
		assertThat(this.loans).containsExactly("s", "t");
	}

	@Test
	void requestsUnderWayGetALoanEach() {
		request("s");
		request("s");
		respond(LOAN);
		respond(LOAN);
		assertThat(this.loans).containsExactly("s", "s");
	}

	@Test
	void refusalIsNoLoan() {
		request("s");
		respond(REFUSAL);
		assertThat(this.loans).isEmpty();
	}

	/** The lender counts a permit in the window in which it lent it. */
	@Test
	void loanThatComesLateIsNotCounted() {
		request("s");
		this.control.advance(PeerRetryLoanClient.MAX_ROUND_TRIP_MILLIS + 1);
		respond(LOAN);
		assertThat(this.loans).isEmpty();
	}

	@Test
	void lateLoanIsNotTakenForThatOfALaterRequest() {
		request("s");
		this.control.advance(PeerRetryLoanClient.MAX_ROUND_TRIP_MILLIS);
		request("s");
		respond(LOAN);
		assertThat(this.loans).isEmpty();
		respond(LOAN);
		assertThat(this.loans).containsExactly("s");
	}

	@Test
	void linkWithoutAResponseIsReplacedSoThatLaterLoansCount() {
		request("s");
		this.control.advance(PeerRetryLoanClient.MAX_UNANSWERED_MILLIS);
		request("s");
		request("s");
		respond(LOAN);
		assertThat(this.loans).containsExactly("s");
	}

	@Test
	void linkIsNotReplacedIfALoanHasArrivedThatIsUnread() {
		request("s");
		request("s");
		this.transport.link.unread = () -> respond(LOAN);
		request("s");
		request("s");
		assertThat(this.transport.link.closed).isFalse();
		assertThat(this.loans).containsExactly("s");
	}

	@Test
	void loanThatComesTwiceIsCountedOnce() {
		request("s");
		respond(LOAN);
		respond(LOAN);
		assertThat(this.loans).containsExactly("s");
	}

	@Test
	void loanOfAnotherServiceIsNotCounted() {
		request("s");
		respond(new Message.RetryLoan("t", true));
		assertThat(this.loans).isEmpty();
	}

	@Test
	void messageOfAnotherKindIsNoResponse() {
		request("s");
		respond(new Message.EngineLoadAck("s"));
		respond(LOAN);
		assertThat(this.loans).containsExactly("s");
	}

	/**
	 * The only link.
	 */
	private static final class PeerTransport implements Transport {

		private final SilentLink link = new SilentLink();

		private Link.Listener listener;

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener peerListener) {
			throw new UnsupportedOperationException("nothing listens in this test");
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener linkListener) {
			this.listener = linkListener;
			this.link.listener = linkListener;
			return this.link;
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
	 * A link whose peer is the test.
	 */
	private static final class SilentLink implements Link {

		private Link.Listener listener;

		private boolean closed;

		/** Passes on what has arrived and is not read. */
		private Runnable unread = () -> {
		};

		@Override
		public void send(Message message) {
			// The test knows what is sent.
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public void close() {
			this.closed = true;
			this.listener.closed(this);
		}

		@Override
		public void runAfterReads(Runnable task) {
			this.unread.run();
			task.run();
		}

		@Override
		public String peerAddress() {
			return "peer";
		}

	}

}
