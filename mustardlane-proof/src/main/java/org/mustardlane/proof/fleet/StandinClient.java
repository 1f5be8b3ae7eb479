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
 * HTTP client for the control endpoints of the stand-ins: sets faults and reads state and
 * journals.
 */
public final class StandinClient implements AutoCloseable {

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
	 * @param url the URL of the document
	 * @return the parsed document
	 * @throws FleetException if the request fails or the response is malformed
	 */
	public JsonNode getJson(String url) throws FleetException {
		return sendForJson(Dsl.get(url).build());
	}

	/**
	 * Reads a text document.
	 * @param url the URL of the document
	 * @return the response body
	 * @throws FleetException if the request fails or the response is malformed
	 */
	public String getText(String url) throws FleetException {
		return send(Dsl.get(url).build()).getResponseBody();
	}

	/**
	 * Writes an object as a JSON document.
	 * @param url the URL to write to
	 * @param document the object to serialise
	 * @throws FleetException if the object cannot be serialised or the request fails
	 */
	public void put(String url, Object document) throws FleetException {
		try {
			sendForJson(Dsl.put(url).setBody(MAPPER.writeValueAsBytes(document)).build());
		}
		catch (IOException ex) {
			throw new FleetException("document cannot be serialised as JSON", ex);
		}
	}

	/**
	 * Writes a JSON document that is already serialised.
	 * @param url the URL to write to
	 * @param json the JSON document
	 * @throws FleetException if the request fails
	 */
	public void putJson(String url, String json) throws FleetException {
		sendForJson(Dsl.put(url).setBody(json).build());
	}

	/**
	 * Reads the journal of a target.
	 * @param targetUrl the base URL of the target
	 * @return one row for each request that the target started
	 * @throws FleetException if the request fails or the response is malformed
	 */
	public List<JournalRow> readJournal(String targetUrl) throws FleetException {
		List<JournalRow> rows = new ArrayList<>();
		try {
			for (JsonNode row : getJson(targetUrl + "/journal").path("entries")) {
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
			// No request depends on these connections any more.
		}
	}

	private JsonNode sendForJson(Request request) throws FleetException {
		try {
			return MAPPER.readTree(send(request).getResponseBodyAsBytes());
		}
		catch (IOException ex) {
			throw new FleetException("malformed response from " + request.getUrl(), ex);
		}
	}

	private Response send(Request request) throws FleetException {
		try {
			Response response = this.client.executeRequest(request).get();
			if (response.getStatusCode() != OK) {
				throw new FleetException(request.getUrl() + " returned status " + response.getStatusCode());
			}
			return response;
		}
		catch (ExecutionException ex) {
			throw new FleetException(request.getUrl() + " did not respond", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

}
