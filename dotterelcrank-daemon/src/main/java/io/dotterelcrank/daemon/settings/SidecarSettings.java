package io.dotterelcrank.daemon.settings;

/**
 * Settings of a sidecar daemon. Immutable.
 *
 * @param name name of the target in the host list
 * @param dataCentre its data centre
 * @param service service that the target belongs to
 * @param model model served; empty for a plain service
 * @param target address of the engine or plain service
 * @param address IP number to bind
 * @param port port for links of entry hosts; 0 for a free one
 * @param operatorPort port for operators; 0 for a free one
 * @param operatorToken token that operators send, or an empty string
 * @param platform addresses of the platform's systems
 * @param admission name of the admission policy
 * @param checksFences whether the engine refuses old fencing numbers
 */
public record SidecarSettings(String name, String dataCentre, String service, String model, String target,
		String address, int port, int operatorPort, String operatorToken, PlatformSettings platform, String admission,
		boolean checksFences) {
}
