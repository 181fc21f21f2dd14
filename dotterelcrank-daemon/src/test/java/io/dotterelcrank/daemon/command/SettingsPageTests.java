package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.github.rvesse.airline.annotations.Option;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the flags documented on the settings page with the flags of the daemons.
 */
class SettingsPageTests {

	@Test
	void settingsPageListsExactlyTheDaemonFlags() throws IOException {
		Set<String> flags = new TreeSet<>();
		for (Class<?> options : new Class<?>[] { EntryVerb.class, SidecarVerb.class, DaemonOptions.class,
				PlatformOptions.class }) {
			for (Field field : options.getDeclaredFields()) {
				Option option = field.getAnnotation(Option.class);
				if (option != null) {
					flags.add(option.name()[0]);
				}
			}
		}
		Path page = Path.of(System.getProperty("user.dir")).resolveSibling("docs/operations/SETTINGS.md");
		Set<String> documented = new TreeSet<>();
		for (String line : Files.readAllLines(page)) {
			Matcher matcher = Pattern.compile("`(--[a-z-]+)`").matcher(line);
			while (line.startsWith("| `--") && matcher.find()) {
				documented.add(matcher.group(1));
			}
		}
		assertThat(documented).isEqualTo(flags);
	}

}
