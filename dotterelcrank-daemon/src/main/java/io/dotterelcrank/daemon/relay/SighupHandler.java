package io.dotterelcrank.daemon.relay;

import java.lang.reflect.Proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;

/**
 * Replaces the default action of SIGHUP, which would end the process. The JDK offers
 * signal handlers only in {@code sun.misc}; using it directly causes a compiler warning,
 * which fails the build, so it is loaded by reflection. Stateless.
 */
public final class SighupHandler {

	private static final Logger logger = LoggerFactory.getLogger(SighupHandler.class);

	private SighupHandler() {
	}

	/**
	 * Installs the handler. If that fails, logs the error and leaves the default action.
	 * @param action runs at each SIGHUP, on a thread of the JVM
	 */
	public static void install(Runnable action) {
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
