package io.dotterelcrank.daemon.relay;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Hears the signal to reload, which would end the process otherwise. The JDK offers it
 * only through a module whose use fails a build that allows no warnings, so it is looked
 * up by name. Stateless.
 */
public final class ReloadSignal {

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(ReloadSignal.class);

	private ReloadSignal() {
	}

	/**
	 * Runs an action at each signal.
	 * @param action the action
	 */
	public static void onReload(Runnable action) {
		try {
			Class<?> signal = Class.forName("sun.misc.Signal");
			Class<?> handler = Class.forName("sun.misc.SignalHandler");
			Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] { handler },
					(instance, method, arguments) -> {
						action.run();
						return null;
					});
			signal.getMethod("handle", signal, handler)
				.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
		}
		catch (ReflectiveOperationException ex) {
			LogEvent.CONTROL_TASK_FAILED.log(logger, "the reload signal cannot be heard: " + ex);
		}
	}

}
