package org.mustardlane.gateway.report;

/**
 * Kinds of log lines; docs/OPERATIONS.md lists their fields.
 */
public enum LogEvent {

	/**
	 * The process has started and is listening.
	 */
	STARTED("started"),

	/**
	 * The process has started a graceful shutdown.
	 */
	DRAINING("draining"),

	/**
	 * The process is ending.
	 */
	STOPPED("stopped"),

	/**
	 * The settings were reloaded.
	 */
	RELOADED("reloaded"),

	/**
	 * A dependency has become unavailable.
	 */
	DEPENDENCY_LOST("dependency-lost"),

	/**
	 * A dependency is available again.
	 */
	DEPENDENCY_REGAINED("dependency-regained"),

	/**
	 * A response was overdue, and came over a new connection.
	 */
	CONNECTIONS_SILENT("connections-silent"),

	/**
	 * A new version of the routes is in force.
	 */
	ROUTES_CHANGED("routes-changed"),

	/**
	 * A target was added or removed, or its state has changed.
	 */
	TARGET_CHANGED("target-changed"),

	/**
	 * A record could not be decoded.
	 */
	RECORD_REJECTED("record-rejected"),

	/**
	 * Calls with certain parts in their prompts are refused from now on.
	 */
	QUARANTINE_ADDED("quarantine-added"),

	/**
	 * A response has started that shows that a part of its prompt, or its target, has not
	 * crashed.
	 */
	CRASH_EVIDENCE_CONTRADICTED("crash-evidence-contradicted"),

	/**
	 * A target that has ended a connection has not crashed, or this router cannot tell.
	 */
	CRASH_RULED_OUT("crash-ruled-out"),

	/**
	 * A target has reported how many requests per second it accepts, or reports no limit
	 * any more.
	 */
	TARGET_LIMIT_CHANGED("target-limit-changed"),

	/**
	 * The platform's log was restored from an older copy.
	 */
	LOG_RESTORED("log-restored"),

	/**
	 * A record of a target was ignored because a newer one is known.
	 */
	RECORD_IGNORED("record-ignored"),

	/**
	 * The process was paused.
	 */
	PAUSE_NOTICED("pause-noticed"),

	/**
	 * A call was sent to a target.
	 */
	CALL_SENT("call-sent"),

	/**
	 * A call was passed on to another router.
	 */
	CALL_RELAYED("call-relayed"),

	/**
	 * Another router has not taken a call over.
	 */
	RELAY_DECLINED("relay-declined"),

	/**
	 * An attempt ended without a usable response.
	 */
	ATTEMPT_FAILED("attempt-failed"),

	/**
	 * A call has ended.
	 */
	CALL_ENDED("call-ended"),

	/**
	 * A call or a connection of a caller was rejected.
	 */
	CALLER_REJECTED("caller-rejected"),

	/**
	 * Another router was found or has failed to respond.
	 */
	PEER_CHANGED("peer-changed"),

	/**
	 * How many digests were exchanged with other routers in the last seconds.
	 */
	GOSSIP_TRAFFIC("gossip-traffic"),

	/**
	 * A call is deferred until the router has loaded its first routes.
	 */
	CALL_HELD("call-held"),

	/**
	 * New settings are invalid; the previous settings stay in force.
	 */
	SETTINGS_REJECTED("settings-rejected"),

	/**
	 * A handler or a task has thrown an unexpected exception; it ended only this handler
	 * or this run of the task.
	 */
	UNEXPECTED_ERROR("unexpected-error"),

	/**
	 * Log lines from the start of the process were dropped.
	 */
	LINES_LOST("lines-lost");

	private final String eventName;

	LogEvent(String eventName) {
		this.eventName = eventName;
	}

	/**
	 * Returns the name of the event as it is written to the log.
	 * @return the value of the field {@code event}
	 */
	public String eventName() {
		return this.eventName;
	}

}
