package io.dotterelcrank.daemon.relay;

import java.math.BigDecimal;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.rollout.RolloutSettings;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link RelaySettingsReader}: numbers in any notation that a platform may use,
 * and errors for all others.
 */
class RelaySettingsReaderTests {

	private static Map<String, String> environment() {
		Map<String, String> environment = new HashMap<>();
		environment.put("DOTTERELCRANK_NAME", "entry-a");
		environment.put("DOTTERELCRANK_DATA_CENTRE", "giza");
		environment.put("DOTTERELCRANK_IP", "10.1.0.1");
		environment.put("DOTTERELCRANK_STORE", "10.200.1.7:8742");
		environment.put("DOTTERELCRANK_CALLERS", "10.1.0.1:8740");
		environment.put("DOTTERELCRANK_READY", "10.1.0.1:8749");
		environment.put("DOTTERELCRANK_PEERS", "10.1.0.1:8748");
		return environment;
	}

	private static RelayEntrySettings read(String variable, String value) throws RequestException {
		Map<String, String> environment = environment();
		environment.put("DOTTERELCRANK_" + variable, value);
		return RelaySettingsReader.entry(environment);
	}

	@ParameterizedTest
	@CsvSource({ "54, 54", "44.16666666666667, 44.16666666666667", "4.4166666666666664E1, 44.166666666666664",
			"1e2, 100", "0, 0", "1.0E-10, 1e-10", "7., 7", ".5, 0.5", "+3, 3" })
	void retrySlackAcceptsAnyNotation(String text, double expected) throws RequestException {
		assertThat(read("REPEAT_SLACK", text).relay().retrySlack()).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "2000, 2000", "2000.0, 2000", "2e3, 2000", "1666.6666666666667, 1667" })
	void drainTimeAcceptsAnyNotation(String text, long expected) throws RequestException {
		assertThat(read("DRAIN_MILLIS", text).drainMillis()).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "9464, 9464", "9464.0, 9464", "9.464e3, 9464" })
	void portAcceptsAnyNotationOfAnInteger(String text, int expected) throws RequestException {
		assertThat(read("METRICS_PORT", text).common().metricsPort()).isEqualTo(expected);
	}

	@ParameterizedTest
	@ValueSource(strings = { "-1", "NaN", "Infinity", "inf", "1e400", "1e999999999", "0x1p3", "1d", "1,5", "1_000",
			"e3", ".", "+", "12 13", "ten" })
	void malformedRetrySlackIsAnError(String text) {
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read("REPEAT_SLACK", text))
			.withMessageContaining("--repeat-slack")
			.withMessageContaining("'" + text + "'")
			.satisfies((ex) -> assertThat(ex.failure().code()).isEqualTo(ResultCode.INVALID_SETTING));
	}

	@ParameterizedTest
	@ValueSource(strings = { "94.5", "70000", "-1", "1e300" })
	void malformedPortIsAnError(String text) {
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read("METRICS_PORT", text))
			.withMessageContaining("--metrics-port must be an integer from 0 to 65535");
	}

	@ParameterizedTest
	@CsvSource({ "7, 7", "7.0, 7", "140.5, 140.5", "1e3, 1000", "0, 0", "'', 0" })
	void linkCapacityIsReadAndUnknownIfItIsEmpty(String text, double expected) throws RequestException {
		assertThat(read("LINK_MBPS", text).linkMbps()).isEqualTo(expected);
	}

	@Test
	void linkCapacityIsUnknownUnlessItIsSet() throws RequestException {
		assertThat(RelaySettingsReader.entry(environment()).linkMbps()).isEqualTo(Member.UNKNOWN_LINK);
	}

	@ParameterizedTest
	@ValueSource(strings = { "fast", "7 Mbit/s", "-7", "NaN", "Infinity", "1e10" })
	void malformedLinkCapacityIsAnError(String text) {
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read("LINK_MBPS", text))
			.withMessageContaining("--link-mbps must be a decimal number from 0")
			.satisfies((ex) -> assertThat(ex.failure().code()).isEqualTo(ResultCode.INVALID_SETTING));
	}

	@Test
	void allErrorsAreReportedTogether() {
		Map<String, String> environment = environment();
		environment.put("DOTTERELCRANK_REPEAT_RATIO", "a fifth");
		environment.put("DOTTERELCRANK_GRACE_SECONDS", "0");
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> RelaySettingsReader.entry(environment))
			.withMessageContaining("--repeat-ratio")
			.withMessageContaining("--grace-seconds");
	}

	@ParameterizedTest
	@CsvSource({ "'', '', ''", "'', 50, 5000", "0, 50, 5000" })
	void rolloutsAreDisabledWithoutAShare(String share, String slack, String rollbackMillis) throws RequestException {
		assertThat(readRollouts(share, slack, rollbackMillis)).isEqualTo(RolloutSettings.DISABLED);
		assertThat(RelaySettingsReader.entry(environment()).relay().rollouts()).isEqualTo(RolloutSettings.DISABLED);
	}

	@ParameterizedTest
	@CsvSource({ "0.1, 50, 5000, 50", "1e-1, 50.0, 5.0E3, 50", "0.1, '', 5000, 0" })
	void boundsOfRolloutsAreRead(String share, String slack, String rollbackMillis, int expectedSlack)
			throws RequestException {
		assertThat(readRollouts(share, slack, rollbackMillis))
			.isEqualTo(new RolloutSettings(0.1, expectedSlack, 5_000));
	}

	@ParameterizedTest
	@CsvSource({ "1.1, 50, 5000, --exposed-share", "tenth, 50, 5000, --exposed-share", "0.1, -1, 5000, --exposed-slack",
			"0.1, 50, 20, --rollback-millis", "0.1, 50, '', --rollback-millis", "'', 50, soon, --rollback-millis" })
	void malformedBoundsOfRolloutsAreErrors(String share, String slack, String rollbackMillis, String error) {
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> readRollouts(share, slack, rollbackMillis))
			.withMessageContaining(error)
			.satisfies((ex) -> assertThat(ex.failure().code()).isEqualTo(ResultCode.INVALID_SETTING));
	}

	private static RolloutSettings readRollouts(String share, String slack, String rollbackMillis)
			throws RequestException {
		Map<String, String> environment = environment();
		environment.put("DOTTERELCRANK_EXPOSED_SHARE", share);
		environment.put("DOTTERELCRANK_EXPOSED_SLACK", slack);
		environment.put("DOTTERELCRANK_ROLLBACK_MILLIS", rollbackMillis);
		return RelaySettingsReader.entry(environment).relay().rollouts();
	}

	@Test
	void yieldingToShorterGoalsIsOffUnlessItIsSwitchedOn() throws RequestException {
		assertThat(RelaySettingsReader.entry(environment()).relay().yieldsToShorterGoals()).isFalse();
		assertThat(read("YIELD_TO_SHORTER_GOALS", "yes").relay().yieldsToShorterGoals()).isTrue();
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> read("YIELD_TO_SHORTER_GOALS", "maybe"))
			.withMessageContaining("--yield-to-shorter-goals");
	}

	@Property(seed = "31")
	void everyPrintedDoubleIsRead(@ForAll @DoubleRange(min = 0, max = 1e9) double value) throws RequestException {
		assertThat(read("REPEAT_SLACK", Double.toString(value)).relay().retrySlack()).isEqualTo(value);
		assertThat(read("REPEAT_SLACK", new BigDecimal(value).toPlainString()).relay().retrySlack()).isEqualTo(value);
		assertThat(read("REPEAT_SLACK", String.format(Locale.ROOT, "%.17e", value)).relay().retrySlack())
			.isEqualTo(value);
		assertThat(read("REPEAT_SLACK", String.format(Locale.ROOT, "%.6f", value)).relay().retrySlack())
			.isCloseTo(value, within(1e-6));
	}

}
