package io.dotterelcrank.process.platform;

import java.util.List;

import io.dotterelcrank.common.PlatformException;

/**
 * Client of the platform's list of hosts. The list may be stale: a host in it may be
 * dead, and a live one may be missing. Implementations are thread-safe.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the hosts
	 * @throws PlatformException if the list cannot be read
	 */
	List<Host> hosts() throws PlatformException;

	/**
	 * A host. Immutable.
	 *
	 * @param name its name, unique in the fleet
	 * @param role kind of process that runs on it
	 * @param dataCentre its data centre
	 * @param service service of the target; empty for entry hosts
	 * @param model model served; empty for entry hosts and plain services
	 * @param address IP address of the process
	 * @param port port on which the process accepts links; 0 for entry hosts
	 * @param operatorPort port on which the process serves operators
	 * @param leaving whether the platform is about to remove the host
	 */
	record Host(String name, Role role, String dataCentre, String service, String model, String address, int port,
			int operatorPort, boolean leaving) {
	}

	/**
	 * Kind of process on a host.
	 */
	enum Role {

		/** An entry daemon. */
		ENTRY,

		/** A model engine with its sidecar. */
		ENGINE,

		/** A plain service with its sidecar. */
		SERVICE

	}

}
