package org.mustardlane.proof.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.Response;

import org.mustardlane.standin.target.JournalRow;

/**
 * Sets the faults of stand-ins and reads what they recorded.
 */
public final class ControlClient implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final int OK = 200;

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private final AsyncHttpClient client = Dsl
		.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder().setMaxRequestRetry(0)
			.setRequestTimeout(TIMEOUT)
			.setReadTimeout(TIMEOUT)
			.setIoThreadsCount(1));

	/**
	 * Reads a JSON document.
	 * @param url where it is
	 * @return the document
	 * @throws FleetException if it can not be read
	 */
	public JsonNode get(String url) throws FleetException {
		return execute(Dsl.get(url).build());
	}

	/**
	 * Reads a text.
	 * @param url where it is
	 * @return the text
	 * @throws FleetException if it can not be read
	 */
	public String getText(String url) throws FleetException {
		return response(Dsl.get(url).build()).getResponseBody();
	}

	/**
	 * Writes a JSON document.
	 * @param url where it goes
	 * @param document the document
	 * @throws FleetException if it is not taken
	 */
	public void put(String url, Object document) throws FleetException {
		try {
			execute(Dsl.put(url).setBody(MAPPER.writeValueAsBytes(document)).build());
		}
		catch (IOException ex) {
			throw new FleetException("document has no JSON form", ex);
		}
	}

	/**
	 * Writes a JSON text.
	 * @param url where it goes
	 * @param json the text
	 * @throws FleetException if it is not taken
	 */
	public void putJson(String url, String json) throws FleetException {
		execute(Dsl.put(url).setBody(json).build());
	}

	/**
	 * Reads what a target recorded.
	 * @param targetUrl the target
	 * @return the requests that it started
	 * @throws FleetException if it can not be read
	 */
	public List<JournalRow> journal(String targetUrl) throws FleetException {
		List<JournalRow> rows = new ArrayList<>();
		try {
			for (JsonNode row : get(targetUrl + "/journal").path("entries")) {
				rows.add(MAPPER.treeToValue(row, JournalRow.class));
			}
		}
		catch (IOException ex) {
			throw new FleetException("malformed journal", ex);
		}
		return rows;
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			// Nothing is lost with the connections of an ending harness.
		}
	}

	private JsonNode execute(Request request) throws FleetException {
		try {
			return MAPPER.readTree(response(request).getResponseBodyAsBytes());
		}
		catch (IOException ex) {
			throw new FleetException("malformed answer of " + request.getUrl(), ex);
		}
	}

	private Response response(Request request) throws FleetException {
		try {
			Response response = this.client.executeRequest(request).get();
			if (response.getStatusCode() != OK) {
				throw new FleetException(request.getUrl() + " answers " + response.getStatusCode());
			}
			return response;
		}
		catch (ExecutionException ex) {
			throw new FleetException(request.getUrl() + " does not answer", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

}
