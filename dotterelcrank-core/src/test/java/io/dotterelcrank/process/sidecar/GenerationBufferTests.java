package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link GenerationBuffer}.
 */
class GenerationBufferTests {

	private static List<String> tokens(TestLink link) {
		List<String> tokens = new ArrayList<>();
		for (Message message : link.sent) {
			if (message instanceof Message.Tokens sent) {
				assertThat(sent.firstIndex()).isEqualTo(tokens.size());
				tokens.addAll(sent.tokens());
			}
		}
		return tokens;
	}

	@Property(tries = 1_000, seed = "51")
	void sendsEachTokenOnceAndInOrderThroughBlockedLinks(
			@ForAll @Size(max = 60) List<@IntRange(max = 9) Integer> draws) {
		GenerationBuffer buffer = new GenerationBuffer("g", 0);
		TestLink link = new TestLink();
		buffer.attach(link, 0);
		List<String> appended = new ArrayList<>();
		for (int draw : draws) {
			if (draw < 6) {
				buffer.append(appended.size(), "t" + appended.size());
				appended.add("t" + appended.size());
			}
			else if (draw == 6 && !appended.isEmpty()) {
				buffer.append(appended.size() - 1, "repeated");
			}
			else {
				link.writable = draw == 7;
				buffer.sendPending();
			}
		}
		link.writable = true;
		buffer.finish("stop", TargetLoad.NONE);
		assertThat(tokens(link)).isEqualTo(appended);
		assertThat(link.sent.get(link.sent.size() - 1)).isInstanceOf(Message.Finished.class);
	}

	@Test
	void rejectsATokenAfterAGap() {
		assertThat(new GenerationBuffer("g", 0).append(1, "t1")).isFalse();
	}

	@Test
	void sendsAllTokensBeforeTheFailure() {
		GenerationBuffer buffer = new GenerationBuffer("g", 0);
		buffer.append(0, "t0");
		buffer.fail(Failure.notRun(ResultCode.INTERNAL, "x"), TargetLoad.NONE);
		TestLink link = new TestLink();
		buffer.attach(link, 0);
		assertThat(tokens(link)).containsExactly("t0");
		assertThat(link.sent.get(1)).isInstanceOf(Message.Failed.class);
	}

	@Test
	void resumesOnlyAtBufferedIndexes() {
		GenerationBuffer buffer = new GenerationBuffer("g", 5);
		assertThat(buffer.attach(new TestLink(), 4)).isFalse();
		assertThat(buffer.attach(new TestLink(), 5)).isTrue();
		assertThat(buffer.attach(new TestLink(), 6)).isFalse();
	}

	@Test
	void blocksTheEngineUntilTheCallerAcknowledges() throws InterruptedException {
		GenerationBuffer buffer = new GenerationBuffer("g", 0);
		TestLink link = new TestLink();
		buffer.attach(link, 0);
		Thread engine = new Thread(() -> {
			for (int i = 0; i < GenerationBuffer.MAX_UNREAD_TOKENS + 10; i++) {
				buffer.append(i, "t");
				buffer.awaitFreeSpace();
			}
		});
		engine.start();
		while (engine.getState() != Thread.State.TIMED_WAITING) {
			Thread.onSpinWait();
		}
		assertThat(buffer.nextIndex()).isEqualTo(GenerationBuffer.MAX_UNREAD_TOKENS);
		buffer.acknowledge(link, GenerationBuffer.MAX_UNREAD_TOKENS);
		engine.join();
		assertThat(buffer.nextIndex()).isEqualTo(GenerationBuffer.MAX_UNREAD_TOKENS + 10);
	}

	@Test
	void closingAReplacedSessionDoesNotDetachTheNewOne() {
		GenerationBuffer buffer = new GenerationBuffer("g", 0);
		TestLink replaced = new TestLink();
		buffer.attach(replaced, 0);
		buffer.attach(new TestLink(), 0);
		assertThat(buffer.detach(replaced)).isFalse();
		assertThat(buffer.attached()).isTrue();
	}

}
