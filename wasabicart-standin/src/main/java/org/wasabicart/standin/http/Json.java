package org.wasabicart.standin.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/**
 * Reads and writes the JSON of the stand-ins' HTTP interfaces.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	/**
	 * Creates an empty object.
	 * @return the object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Parses a JSON value.
	 * @param bytes text in UTF-8; empty stands for an empty object
	 * @return the value
	 * @throws UncheckedIOException if the text is not JSON
	 */
	public static JsonNode parse(byte[] bytes) {
		if (bytes.length == 0) {
			return object();
		}
		try {
			return MAPPER.readTree(bytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Formats a JSON value on one line.
	 * @param value value
	 * @return the text
	 */
	public static String format(JsonNode value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Formats a value with indentation.
	 * @param value value
	 * @return the text
	 */
	public static String pretty(JsonNode value) {
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Creates a response with a JSON body.
	 * @param status status code
	 * @param value the body
	 * @return the response
	 */
	public static HttpResponse response(int status, JsonNode value) {
		return HttpResponse.create()
			.withStatus(StatusCodes.get(status))
			.withEntity(ContentTypes.APPLICATION_JSON, format(value).getBytes(StandardCharsets.UTF_8));
	}

}
