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

	private static final int MAX_ENDED_RELAYS = 256;

	private final Map<RequestId, RequestExchange> exchangesInFlight = new ConcurrentHashMap<>();

	private final Map<RequestId, ResponseRelay> endedRelays = new LinkedHashMap<>();

	void add(RequestExchange exchange) {
		this.exchangesInFlight.put(exchange.id(), exchange);
	}

	Optional<RequestExchange> find(RequestId id) {
		return Optional.ofNullable(this.exchangesInFlight.get(id));
	}

	Optional<ResponseRelay> findRelay(RequestId id) {
		return find(id).map(RequestExchange::relay).or(() -> findEndedRelay(id));
	}

	private Optional<ResponseRelay> findEndedRelay(RequestId id) {
		synchronized (this.endedRelays) {
			return Optional.ofNullable(this.endedRelays.get(id));
		}
	}

	void removeIfEnded(RequestExchange exchange) {
		if (!exchange.isEnded() || this.exchangesInFlight.remove(exchange.id()) == null) {
			return;
		}
		exchange.relay().close();
		if (exchange.storedResponseLimitBytes() > 0) {
			keepEndedRelay(exchange);
		}
	}

	private void keepEndedRelay(RequestExchange exchange) {
		synchronized (this.endedRelays) {
			this.endedRelays.put(exchange.id(), exchange.relay());
			if (this.endedRelays.size() > MAX_ENDED_RELAYS) {
				this.endedRelays.remove(this.endedRelays.keySet().iterator().next());
			}
		}
	}

	int size() {
		return this.exchangesInFlight.size();
	}

}
