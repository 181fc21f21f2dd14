package io.dotterelcrank.daemon.settings;

/**
 * Settings of a sidecar daemon. Immutable.
 *
 * @param name name of the target in the host list
 * @param dataCentre its data centre
 * @param service service to which the target belongs
 * @param model model that the engine serves; empty for a plain service
 * @param target URL of the engine or plain service
 * @param address IP address to bind
 * @param port port for links of entry hosts; 0 for a free one
 * @param operatorPort port for metrics, health checks and dumps; 0 for a free one
 * @param operatorToken bearer token required of operators; empty for none
 * @param platform URLs of the platform's systems
 * @param admission name of the admission policy
 * @param checksFences whether the engine rejects outdated fencing tokens
 */
public record SidecarSettings(String name, String dataCentre, String service, String model, String target,
		String address, int port, int operatorPort, String operatorToken, PlatformSettings platform, String admission,
		boolean checksFences) {
}
