package org.mustardlane.router.exchange;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.router.answer.AnswerRelay;

/**
 * The requests in flight, and for a while the claimed ones that have been answered, so
 * that late joiners still find their answers.
 *
 * <p>
 * Thread-safe.
 */
final class RequestTable {

	private static final int MOST_ANSWERED = 256;

	private final Map<RequestId, RequestExchange> inFlight = new ConcurrentHashMap<>();

	private final Map<RequestId, AnswerRelay> answered = new LinkedHashMap<>();

	void add(RequestExchange exchange) {
		this.inFlight.put(exchange.id(), exchange);
	}

	Optional<RequestExchange> find(RequestId id) {
		return Optional.ofNullable(this.inFlight.get(id));
	}

	Optional<AnswerRelay> findForJoin(RequestId id) {
		return find(id).map(RequestExchange::relay).or(() -> findAnswered(id));
	}

	private Optional<AnswerRelay> findAnswered(RequestId id) {
		synchronized (this.answered) {
			return Optional.ofNullable(this.answered.get(id));
		}
	}

	void removeIfOver(RequestExchange exchange) {
		if (!exchange.isOver() || this.inFlight.remove(exchange.id()) == null) {
			return;
		}
		exchange.relay().close();
		if (exchange.keptBytesLimit() > 0) {
			keepAnswered(exchange);
		}
	}

	private void keepAnswered(RequestExchange exchange) {
		synchronized (this.answered) {
			this.answered.put(exchange.id(), exchange.relay());
			if (this.answered.size() > MOST_ANSWERED) {
				this.answered.remove(this.answered.keySet().iterator().next());
			}
		}
	}

	int size() {
		return this.inFlight.size();
	}

}
