package io.dotterelcrank.process.limit;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PermitIssuerChoice}.
 */
class PermitIssuerChoiceTests {

	private final Clock.Manual clock = Clock.manual(5_000);

	private final PermitIssuerChoice choice = PermitIssuerChoice.of(this.clock);

	private final List<Member> hosts = new ArrayList<>(List.of(host("a"), host("b"), host("c")));

	private static Member host(String name) {
		return new Member(name, new InetSocketAddress("10.0.0.1", 1), "dc");
	}

	private String chosen() {
		return this.choice.choose("t", this.hosts).map(Member::name).orElse("none");
	}

	@Test
	void allHostsChooseTheSame() {
		String first = chosen();
		Collections.reverse(this.hosts);
		assertThat(PermitIssuerChoice.of(this.clock).choose("t", this.hosts).orElseThrow().name()).isEqualTo(first);
	}

	@Test
	void unresponsiveHostIsPassedOverForAWhile() {
		String first = chosen();
		this.choice.recordRequest(first);
		this.clock.advance(PermitIssuerChoice.RESPONSE_TIMEOUT_MILLIS - 1);
		assertThat(chosen()).isEqualTo(first);
		this.clock.advance(1);
		assertThat(chosen()).isNotEqualTo(first).isNotEqualTo("none");
		this.clock.advance(PermitIssuerChoice.AVOID_MILLIS);
		assertThat(chosen()).isEqualTo(first);
	}

	@Test
	void responsiveHostStays() {
		String first = chosen();
		this.choice.recordRequest(first);
		this.choice.recordResponse(first);
		this.clock.advance(PermitIssuerChoice.RESPONSE_TIMEOUT_MILLIS);
		assertThat(chosen()).isEqualTo(first);
	}

	@Test
	void hostWhoseLinkFailsIsPassedOverAtOnce() {
		String first = chosen();
		this.choice.recordFailure(first);
		assertThat(chosen()).isNotEqualTo(first);
	}

	@Test
	void noHostIsChosenWhileNoneResponds() {
		this.hosts.forEach((host) -> this.choice.recordFailure(host.name()));
		assertThat(chosen()).isEqualTo("none");
	}

}
