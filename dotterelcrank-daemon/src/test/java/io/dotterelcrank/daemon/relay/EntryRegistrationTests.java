package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what an entry daemon publishes about its host.
 */
class EntryRegistrationTests {

	private final MemoryPlatform platform = new MemoryPlatform();

	private static String freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	private Member register(Map<String, String> further) throws Exception {
		Map<String, String> settings = new HashMap<>(Map.of("DOTTERELCRANK_NAME", "e", "DOTTERELCRANK_DATA_CENTRE",
				"dc", "DOTTERELCRANK_IP", "127.0.0.1", "DOTTERELCRANK_CALLERS", freeAddress(), "DOTTERELCRANK_READY",
				freeAddress(), "DOTTERELCRANK_PEERS", freeAddress(), "DOTTERELCRANK_STORE", "127.0.0.1:1"));
		settings.putAll(further);
		RelayEntryDaemon daemon = RelayEntryDaemon.of(RelaySettingsReader.entry(settings), this.platform);
		daemon.start();
		try {
			List<KeyedRecord> records = List.of();
			while (records.isEmpty()) {
				Thread.sleep(10);
				records = this.platform.tables().records(MemberRegistration.TABLE);
			}
			return Member.parse(records.get(0).key(), new String(records.get(0).value(), StandardCharsets.UTF_8));
		}
		finally {
			daemon.kill();
		}
	}

	@Test
	@Timeout(value = 60, unit = TimeUnit.SECONDS)
	void linkCapacityIsPublished() throws Exception {
		assertThat(register(Map.of("DOTTERELCRANK_LINK_MBPS", "140.0")).linkMbps()).isEqualTo(140);
	}

	@Test
	@Timeout(value = 60, unit = TimeUnit.SECONDS)
	void hostWithoutTheSettingPublishesNoLinkCapacity() throws Exception {
		assertThat(register(Map.of()).linkKnown()).isFalse();
	}

}
