package io.dotterelcrank.process.sidecar;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SessionFence}.
 */
class SessionFenceTests {

	private final Clock.Manual clock = Clock.manual(0);

	private final SessionFence fence = new SessionFence(this.clock);

	private static Message.Hello hello(long incarnation, long session) {
		return new Message.Hello("entry", incarnation, session, "dc");
	}

	@Test
	void newerSessionReplacesOlder() {
		Link first = new TestLink();
		Link second = new TestLink();
		this.fence.register(hello(1, 1), first);
		SessionFence.Registration registration = this.fence.register(hello(1, 2), second);
		assertThat(registration.accepted()).isTrue();
		assertThat(registration.replaced()).isSameAs(first);
		assertThat(this.fence.isCurrent(first)).isFalse();
		assertThat(this.fence.isCurrent(second)).isTrue();
	}

	@Test
	void refusesALateHelloOfAnOlderSession() {
		this.fence.register(hello(1, 2), new TestLink());
		Link late = new TestLink();
		assertThat(this.fence.register(hello(1, 1), late).accepted()).isFalse();
		assertThat(this.fence.register(hello(0, 9), late).accepted()).isFalse();
		assertThat(this.fence.isCurrent(late)).isFalse();
	}

	@Test
	void refusesAnOlderSessionAfterTheNewerOneHasClosed() {
		Link newer = new TestLink();
		this.fence.register(hello(1, 2), newer);
		this.fence.linkClosed(newer);
		assertThat(this.fence.register(hello(1, 1), new TestLink()).accepted()).isFalse();
	}

	@Test
	void acceptsALowerSessionNumberOfANewIncarnation() {
		this.fence.register(hello(1, 9), new TestLink());
		assertThat(this.fence.register(hello(2, 1), new TestLink()).accepted()).isTrue();
	}

	@Test
	void removesProcessesWithoutLinksAfterTheRetentionTime() {
		this.fence.register(hello(1, 1), new TestLink());
		this.clock.advance(SessionFence.RETENTION_MILLIS + 1);
		this.fence.register(new Message.Hello("other", 1, 1, "dc"), new TestLink());
		assertThat(this.fence.size()).isEqualTo(1);
	}

}
