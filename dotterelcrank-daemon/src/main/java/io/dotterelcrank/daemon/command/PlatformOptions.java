package io.dotterelcrank.daemon.command;

import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.daemon.settings.SettingsReader;

/**
 * Flags for the addresses of the platform's systems. Set by the command line library.
 */
public class PlatformOptions {

	@Option(name = "--platform", title = "URL",
			description = "Default address of the log, the host list and the weight store")
	String platform;

	@Option(name = "--log-address", title = "URL", description = "Address of the log")
	String log;

	@Option(name = "--host-list-address", title = "URL", description = "Address of the host list")
	String hostList;

	@Option(name = "--weight-store-address", title = "URL", description = "Address of the weight store")
	String weightStore;

	/**
	 * Reads the addresses. A system without an address of its own has the shared one.
	 * @param reader collects the errors
	 * @return the addresses
	 */
	PlatformSettings read(SettingsReader reader) {
		String sharedAddress = reader.text("platform", this.platform, "");
		String defaultAddress = sharedAddress.isEmpty() ? null : sharedAddress;
		return new PlatformSettings(reader.url("log-address", this.log, defaultAddress),
				reader.url("host-list-address", this.hostList, defaultAddress),
				reader.url("weight-store-address", this.weightStore, defaultAddress));
	}

}
