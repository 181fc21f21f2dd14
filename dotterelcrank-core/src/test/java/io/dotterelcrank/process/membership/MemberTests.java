package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests of {@link Member#parse}.
 */
class MemberTests {

	@Test
	void ownFormIsParsed() {
		Member member = new Member("e", new InetSocketAddress("127.0.0.2", 65_535), "dc");
		assertThat(Member.parse("e", member.format())).isEqualTo(member);
		assertThat(Member.parse("e", "127.0.0.2:1").dataCentre()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(doubles = { 7, 7.333333333333333, 140, 1e9, Double.MIN_VALUE, Double.MAX_VALUE })
	void linkCapacityIsPublished(double linkMbps) {
		Member member = new Member("e", new InetSocketAddress("127.0.0.2", 80), "dc", linkMbps);
		assertThat(Member.parse("e", member.format())).isEqualTo(member);
		Member withoutDataCentre = new Member("e", new InetSocketAddress("127.0.0.2", 80), "", linkMbps);
		assertThat(Member.parse("e", withoutDataCentre.format())).isEqualTo(withoutDataCentre);
	}

	@Test
	void recordOfHostWithoutLinkCapacityIsThatOfOlderBuilds() {
		Member member = new Member("e", new InetSocketAddress("127.0.0.2", 80), "dc");
		assertThat(member.format()).isEqualTo("127.0.0.2:80 dc");
		assertThat(Member.parse("e", "127.0.0.2:80 dc").linkKnown()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "", "fast", "-7", "0", "NaN", "Infinity", "1e999", "7 Mbit/s", "7.0000000000000000000000000" })
	void hostWithMalformedLinkCapacityRemainsAMember(String text) {
		assertThat(Member.parse("e", "127.0.0.2:80 dc link-mbps=" + text))
			.isEqualTo(new Member("e", new InetSocketAddress("127.0.0.2", 80), "dc"));
	}

	/**
	 * A name was looked up on the control thread, and one that was not found made the
	 * list of peers fail at each use.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", " ", ":80", "localhost:80 dc", "entry.invalid:80 dc", "[::1]:80", "127.0.0.1",
			"127.0.0.1:0 dc", "127.0.0.1:65536 dc", "127.0.0.1:-1 dc", "127.0.0.1:99999999999999999999 dc",
			"127.0.0.256:80 dc", "0.0.0.0:80 dc", "224.0.0.1:80 dc", "255.255.255.255:80 dc", "127.0.0.1:80 a\nb",
			"127.0.0.1:80\tdc" })
	void whatIsNoAddressIsRejectedWithoutALookUp(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> Member.parse("e", text));
	}

	@Test
	void longDataCentreAndEmptyNameAreRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> Member.parse("e", "127.0.0.1:80 " + "x".repeat(200_000)));
		assertThatIllegalArgumentException().isThrownBy(() -> Member.parse("", "127.0.0.1:80 dc"));
	}

}
