package io.dotterelcrank.daemon.embedded;

import java.io.OutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The demonstration keeps its promises.
 */
class DemoTests {

	@Test
	void keepsEveryPromise() throws Exception {
		try (Fleet fleet = Demo.fleet(0)) {
			assertThat(Demo.run(new PrintStream(OutputStream.nullOutputStream()), fleet)).isNotEmpty()
				.allMatch(Demo.Check::kept);
		}
	}

}
