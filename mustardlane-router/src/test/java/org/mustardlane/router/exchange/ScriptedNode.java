package org.mustardlane.router.exchange;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;

/**
 * Records events and returns the actions that the script of the test gives for them.
 */
final class ScriptedNode implements EventHandler {

	private final List<NodeEvent> events = new CopyOnWriteArrayList<>();

	private volatile Function<NodeEvent, List<NodeAction>> script = (event) -> List.of();

	void setScript(Function<NodeEvent, List<NodeAction>> newScript) {
		this.script = newScript;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		this.events.add(event);
		return this.script.apply(event);
	}

	<T extends NodeEvent> List<T> eventsOf(Class<T> eventClass) {
		return this.events.stream().filter(eventClass::isInstance).map(eventClass::cast).toList();
	}

	int indexOf(Class<? extends NodeEvent> eventClass) {
		return this.events.indexOf(eventsOf(eventClass).get(0));
	}

}
