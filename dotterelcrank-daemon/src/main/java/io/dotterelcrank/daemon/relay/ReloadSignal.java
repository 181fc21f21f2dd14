package io.dotterelcrank.daemon.relay;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Handles SIGHUP, whose default action ends the process. The JDK offers signal handlers
 * only in {@code sun.misc}; using it directly causes a compiler warning, which fails the
 * build, so it is loaded by reflection. Stateless.
 */
public final class ReloadSignal {

	private static final Logger logger = LoggerFactory.getLogger(ReloadSignal.class);

	private ReloadSignal() {
	}

	/**
	 * Installs a handler of SIGHUP. Logs a failure to install it.
	 * @param action runs at each signal, on a thread of the JVM
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
			LogEvent.CONTROL_TASK_FAILED.log(logger, "cannot install a handler for SIGHUP: " + ex);
		}
	}

}
