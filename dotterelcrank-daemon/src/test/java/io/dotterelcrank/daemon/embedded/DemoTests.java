package io.dotterelcrank.daemon.embedded;

import java.io.OutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the demonstration, and requires that every check passes.
 */
class DemoTests {

	@Test
	void everyGuaranteeHolds() throws Exception {
		try (EmbeddedFleet fleet = Demo.startFleet(0)) {
			assertThat(Demo.run(new PrintStream(OutputStream.nullOutputStream()), fleet)).isNotEmpty()
				.allMatch(Demo.Check::held);
		}
	}

}
