package org.mustardlane.router.exchange;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.router.answer.ResponseRelay;

/**
 * The requests in flight, and the most recent responses of claimed requests that have
 * ended, so that requests that join late still find them.
 *
 * <p>
 * Thread-safe.
 */
final class RequestTable {

	private static final int MAX_ENDED_RESPONSES = 256;

	private final Map<RequestId, RequestExchange> exchangesInFlight = new ConcurrentHashMap<>();

	private final Map<RequestId, ResponseRelay> endedResponses = new LinkedHashMap<>();

	void add(RequestExchange exchange) {
		this.exchangesInFlight.put(exchange.id(), exchange);
	}

	Optional<RequestExchange> find(RequestId id) {
		return Optional.ofNullable(this.exchangesInFlight.get(id));
	}

	Optional<ResponseRelay> findRelay(RequestId id) {
		return find(id).map(RequestExchange::relay).or(() -> findEnded(id));
	}

	private Optional<ResponseRelay> findEnded(RequestId id) {
		synchronized (this.endedResponses) {
			return Optional.ofNullable(this.endedResponses.get(id));
		}
	}

	void removeIfEnded(RequestExchange exchange) {
		if (!exchange.isEnded() || this.exchangesInFlight.remove(exchange.id()) == null) {
			return;
		}
		exchange.relay().close();
		if (exchange.storedResponseLimitBytes() > 0) {
			keepEnded(exchange);
		}
	}

	private void keepEnded(RequestExchange exchange) {
		synchronized (this.endedResponses) {
			this.endedResponses.put(exchange.id(), exchange.relay());
			if (this.endedResponses.size() > MAX_ENDED_RESPONSES) {
				this.endedResponses.remove(this.endedResponses.keySet().iterator().next());
			}
		}
	}

	int size() {
		return this.exchangesInFlight.size();
	}

}
