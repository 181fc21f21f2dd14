package io.dotterelcrank.version;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Change} and {@link Configuration}.
 */
class ChangeTests {

	private static final Subject TARGET = new Subject("big", "bench-model", "engine-1", "giza");

	private static ExceptionRule rule(String id, ExceptionRule.Scope scope, String subject, long value, String reason) {
		return new ExceptionRule(id, scope, subject, Setting.SHARE_WEIGHT, value, reason);
	}

	private static Configuration configurationAfter(Change... changes) {
		return ConfigurationStateMachine.preview(Configuration.INITIAL, List.of(changes), 1).result();
	}

	@Test
	void exceptionRequiresReason() {
		Change change = new Change.AddException(rule("x", ExceptionRule.Scope.WORKSPACE, "big", 5, " "));
		assertThat(change.validationError(Configuration.INITIAL)).contains("an exception requires a reason");
	}

	@Test
	void exceptionIdIsUnique() {
		Change change = new Change.AddException(rule("x", ExceptionRule.Scope.WORKSPACE, "big", 5, "trial"));
		assertThat(change.validationError(configurationAfter(change))).isPresent();
	}

	@Test
	void narrowestExceptionWins() {
		Configuration configuration = configurationAfter(new Change.SetDefault(Setting.SHARE_WEIGHT, 1),
				new Change.AddException(rule("a", ExceptionRule.Scope.DATA_CENTRE, "giza", 2, "r")),
				new Change.AddException(rule("b", ExceptionRule.Scope.SERVICE, "bench-model", 3, "r")),
				new Change.AddException(rule("c", ExceptionRule.Scope.HOST, "engine-1", 4, "r")),
				new Change.AddException(rule("d", ExceptionRule.Scope.WORKSPACE, "big", 5, "r")));
		assertThat(configuration.value(Setting.SHARE_WEIGHT, TARGET)).isEqualTo(5);
		assertThat(configuration.value(Setting.SHARE_WEIGHT, TARGET.withWorkspace("small"))).isEqualTo(4);
		assertThat(configuration.value(Setting.SHARE_WEIGHT, Subject.FLEET)).isEqualTo(1);
	}

	@Test
	void valueOutOfRangeIsRejected() {
		assertThat(new Change.SetDefault(Setting.EJECTION_CAP_PERCENT, 101).validationError(Configuration.INITIAL))
			.isPresent();
	}

	@Test
	void emptyListOfChangesIsRejected() {
		assertThat(ConfigurationStateMachine.preview(Configuration.INITIAL, List.of(), 1).faults()).isNotEmpty();
	}

	@Test
	void dataCentreIsTakenOutAndReturned() {
		Configuration out = configurationAfter(new Change.DataCentreOut("giza", "cable work"));
		assertThat(out.dataCentreOut("giza")).isTrue();
		assertThat(new Change.DataCentreBack("giza").apply(out, 2).dataCentreOut("giza")).isFalse();
		assertThat(new Change.DataCentreBack("helwan").validationError(out)).isPresent();
	}

}
