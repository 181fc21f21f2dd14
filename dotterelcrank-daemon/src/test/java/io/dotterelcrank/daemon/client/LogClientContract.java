package io.dotterelcrank.daemon.client;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.standin.platform.LogFault;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * What every {@link LogClient} does.
 */
abstract class LogClientContract {

	/** Retention of the log under test, in milliseconds. */
	static final long RETENTION_MILLIS = 10_000;

	abstract LogClient client();

	abstract void fault(LogFault fault);

	abstract void passRetention();

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Test
	void offsetsStartAtOneWithoutGaps() throws PlatformException {
		assertThat(client().append("s", bytes("a"))).isEqualTo(1);
		assertThat(client().append("s", bytes("b"))).isEqualTo(2);
		assertThat(client().append("other", bytes("c"))).isEqualTo(1);
		LogClient.Page page = client().read("s", 1, 0);
		assertThat(page.firstOffset()).isEqualTo(1);
		assertThat(page.endOffset()).isEqualTo(2);
		assertThat(page.records().stream().map((entry) -> new String(entry.content(), StandardCharsets.UTF_8)))
			.containsExactly("a", "b");
	}

	@Test
	void readsFromAnOffset() throws PlatformException {
		client().append("s", bytes("a"));
		client().append("s", bytes("b"));
		List<LogClient.Entry> records = client().read("s", 2, 0).records();
		assertThat(records).hasSize(1);
		assertThat(records.get(0).offset()).isEqualTo(2);
	}

	@Test
	void anEmptyStreamHasNoRecords() throws PlatformException {
		LogClient.Page page = client().read("empty", 1, 0);
		assertThat(page.records()).isEmpty();
		assertThat(page.firstOffset()).isEqualTo(page.endOffset() + 1);
	}

	@Test
	void recordsExpireAndOffsetsGoOn() throws PlatformException {
		client().append("s", bytes("a"));
		passRetention();
		client().append("s", bytes("b"));
		LogClient.Page page = client().read("s", 1, 0);
		assertThat(page.firstOffset()).isEqualTo(2);
		assertThat(page.records()).hasSize(1);
	}

	@Test
	void aLogThatIsDownFails() {
		fault(LogFault.DOWN);
		assertThatExceptionOfType(PlatformException.class).isThrownBy(() -> client().append("s", bytes("a")));
		assertThatExceptionOfType(PlatformException.class).isThrownBy(() -> client().read("s", 1, 0));
	}

	@Test
	void anAppendWhoseAnswerIsLostTakesEffect() throws PlatformException {
		fault(LogFault.LOSE_ANSWERS);
		assertThatExceptionOfType(PlatformException.class).isThrownBy(() -> client().append("s", bytes("a")));
		assertThat(client().read("s", 1, 0).records()).hasSize(1);
	}

	@Test
	void aLateAppendTakesEffectAfterItsFailure() throws PlatformException {
		fault(LogFault.LATE_APPENDS);
		assertThatExceptionOfType(PlatformException.class).isThrownBy(() -> client().append("s", bytes("a")));
		assertThat(client().read("s", 1, 0).records()).isEmpty();
		fault(LogFault.NONE);
		assertThat(client().read("s", 1, 0).records()).hasSize(1);
	}

}
