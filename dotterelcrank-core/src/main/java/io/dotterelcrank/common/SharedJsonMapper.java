package io.dotterelcrank.common;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * The JSON mapper shared by log records, HTTP bodies and dumps. Thread-safe.
 */
public final class SharedJsonMapper {

	/**
	 * Ignores unknown properties, so that processes of different versions can
	 * interoperate.
	 */
	private static final ObjectMapper MAPPER = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);

	private SharedJsonMapper() {
	}

	/**
	 * Returns the mapper.
	 * @return the shared mapper; must not be reconfigured
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

}
