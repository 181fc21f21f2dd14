package io.dotterelcrank.process.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link BackupPolicy}.
 */
class BackupPolicyTests {

	@Test
	void enginesKeepBackupsWhileMemoryIsPlenty() {
		assertThat(BackupPolicy.maxMemoryFraction(0)).isEqualTo(0.4);
		assertThat(BackupPolicy.maxMemoryFraction(0.5)).isEqualTo(0.4);
	}

	@Test
	void backupsYieldToPromptsAsMemoryFillsUp() {
		assertThat(BackupPolicy.maxMemoryFraction(0.6)).isCloseTo(0.2, within(1e-9));
		assertThat(BackupPolicy.maxMemoryFraction(0.7)).isZero();
		assertThat(BackupPolicy.maxMemoryFraction(0.95)).isZero();
	}

}
