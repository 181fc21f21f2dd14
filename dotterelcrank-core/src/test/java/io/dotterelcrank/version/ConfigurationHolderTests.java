package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ConfigurationHolder}.
 */
class ConfigurationHolderTests {

	@Test
	void neverGoesBack() {
		ConfigurationHolder holder = ConfigurationHolder.create();
		List<Long> heard = new ArrayList<>();
		holder.onChange((configuration) -> heard.add(configuration.version()));
		for (long version : new long[] { 3, 2, 5, 5, 1 }) {
			holder.updateIfNewer(Configuration.INITIAL.withVersion(version), "test");
		}
		assertThat(heard).containsExactly(3L, 5L);
		assertThat(holder.current().version()).isEqualTo(5);
	}

	@Test
	void readyOnceAnySourceWasHeard() {
		ConfigurationHolder holder = ConfigurationHolder.create();
		assertThat(holder.ready()).isFalse();
		holder.updateIfNewer(Configuration.INITIAL, "test");
		assertThat(holder.ready()).isTrue();
	}

}
