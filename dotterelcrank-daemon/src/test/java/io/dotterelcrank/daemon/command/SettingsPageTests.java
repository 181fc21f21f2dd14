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
 * Compares the flags on the settings page with the daemons' flags.
 */
class SettingsPageTests {

	@Test
	void pageNamesEveryFlagOfTheDaemons() throws IOException {
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
		Set<String> named = new TreeSet<>();
		for (String line : Files.readAllLines(page)) {
			Matcher matcher = Pattern.compile("`(--[a-z-]+)`").matcher(line);
			while (line.startsWith("| `--") && matcher.find()) {
				named.add(matcher.group(1));
			}
		}
		assertThat(named).isEqualTo(flags);
	}

}
