package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationHolder}.
 */
class ConfigurationHolderTests {

	@Test
	void ignoresOlderVersions() {
		ConfigurationHolder holder = ConfigurationHolder.create();
		List<Long> notifiedVersions = new ArrayList<>();
		holder.onChange((configuration) -> notifiedVersions.add(configuration.version()));
		for (long version : new long[] { 3, 2, 5, 5, 1 }) {
			holder.updateIfNewer(Configuration.INITIAL.withVersion(version), "test");
		}
		assertThat(notifiedVersions).containsExactly(3L, 5L);
		assertThat(holder.current().version()).isEqualTo(5);
	}

	@Test
	void readyOnceAConfigurationIsReceived() {
		ConfigurationHolder holder = ConfigurationHolder.create();
		assertThat(holder.ready()).isFalse();
		holder.updateIfNewer(Configuration.INITIAL, "test");
		assertThat(holder.ready()).isTrue();
	}

}
