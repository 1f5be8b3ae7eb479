Feature: A request marked non-idempotent runs at most once
  After each scenario the journals of all targets are compared with the responses that the callers received.

  @ci @once
  Scenario: A retry with the same key gets the same response
    Given a fleet of 3 routers
    When caller A sends release to vm-1 with key lot-1
    And caller A has ended
    And caller B sends release to vm-2 with key lot-1
    Then expect caller A answered
    And expect caller B answered
    And expect key lot-1 executed 1 time

  @ci @once
  Scenario: Two routers have one key at once
    Given a fleet of 3 routers
    And all services have the faults {"slowFactor":100}
    When caller A sends release to vm-1 with key lot-1
    And caller B sends release to vm-2 with key lot-1
    And caller C sends release to vm-3 with key lot-1
    Then expect caller A answered
    And expect caller B answered
    And expect caller C answered
    And expect key lot-1 executed 1 time

  @ci @once
  Scenario: The same key with a different body is refused
    Given a fleet of 3 routers
    When caller A sends release to vm-1 with key lot-1 and text first
    And caller A has ended
    And caller B sends release to vm-2 with key lot-1 and text second
    Then expect caller A answered
    And expect caller B refused with code KEY_REUSED
    And expect key lot-1 executed 1 time

  @once
  Scenario: A router is killed while the target executes, and the caller retries
    Given a fleet of 3 routers
    And all services have the faults {"slowFactor":400}
    When caller A sends release to vm-1 with key lot-1
    And key lot-1 is being executed
    And I kill vm-1
    And caller A has ended
    And caller B sends release to vm-2 with key lot-1
    And caller B has ended
    And I restart vm-1
    And caller C sends release to vm-1 with key lot-1
    Then expect caller A not answered
    And expect caller B to get outcome unknown
    And expect caller C to get outcome unknown
    And expect key lot-1 executed 1 time

  @once
  Scenario Outline: A router is killed shortly after the request, and the caller retries
    Given a fleet of 3 routers
    When caller A sends release to vm-1 with key lot-1
    And <millis> milliseconds pass
    And I kill vm-1
    And caller A has ended
    And caller B sends release to vm-2 with key lot-1
    And caller C sends release to vm-3 with key lot-1
    Then all callers have ended

    Examples:
      | millis |
      | 0      |
      | 2      |
      | 5      |
      | 10     |
      | 20     |

  @once
  Scenario: A router is frozen between claim and send until its deadlines have passed
    Given a fleet of 3 routers
    And the platform has the faults {"slowMillis":400}
    When caller A sends release to vm-1 with key lot-1
    And 200 milliseconds pass
    And I freeze vm-1
    And 12000 milliseconds pass
    And caller B sends release to vm-2 with key lot-1
    And caller B has ended
    And I resume vm-1
    Then all callers have ended

  @ci @once
  Scenario: Requests are refused as not run during a platform outage
    Given a fleet of 3 routers
    And the platform has the faults {"outage":true}
    When caller A sends release to vm-1 with key lot-1
    And caller A has ended
    Then expect caller A not run
    And expect key lot-1 executed 0 times

  @once
  Scenario: Requests are refused as not run while the platform does not respond, and the key can be used afterwards
    Given a fleet of 3 routers
    And the platform has the faults {"silent":true}
    When caller A sends release to vm-1 with key lot-1
    And caller A has ended
    And the platform has the faults {}
    And 3000 milliseconds pass
    And caller B sends release to vm-2 with key lot-1
    Then expect caller A not run
    And expect caller B answered or not run

  @once
  Scenario: The response to the append of a claim is lost
    Given a fleet of 3 routers
    And the platform has the faults {"loseAppendAnswers":1,"streamPrefix":"claims"}
    When caller A sends release to vm-1 with key lot-1
    And caller A has ended
    And caller B sends release to vm-2 with key lot-1
    Then expect caller A answered
    And expect caller B answered
    And expect key lot-1 executed 1 time

  @once
  Scenario: An appended claim appears in the log late
    Given a fleet of 3 routers
    And the platform has the faults {"lateAppends":1,"lateAppendMillis":3000,"streamPrefix":"claims"}
    When caller A sends release to vm-1 with key lot-1
    And 500 milliseconds pass
    And caller B sends release to vm-2 with key lot-1
    And all callers have ended
    And 4000 milliseconds pass
    And caller C sends release to vm-3 with key lot-1
    Then all callers have ended

  @once
  Scenario: A target executes a request and its response is lost
    Given a fleet of 3 routers
    And all services have the faults {"loseAnswer":true,"times":1}
    When caller A sends release to vm-1 with key lot-1
    And caller A has ended
    And caller B sends release to vm-2 with key lot-1
    Then expect caller A not answered
    And expect key lot-1 executed 1 time

  @once
  Scenario: A target rejects requests before starting them, and other targets execute them
    Given a fleet of 3 routers
    And target "service-1" has the faults {"refuse":true}
    When 30 callers lot send release to all routers with a key each
    Then expect callers lot answered or not run

  @once
  Scenario: Targets reset connections before the request starts
    Given a fleet of 3 routers
    And all services have the faults {"resetConnections":true,"times":3}
    When 30 callers lot send release to all routers with a key each
    Then all callers have ended

  @once
  Scenario: A partitioned domain refuses requests that it cannot claim
    Given a fleet of 3 routers
    And the platform seen from "north" has the faults {"silent":true}
    And I partition "north" from "middle"
    And I partition "north" from "south"
    When caller A sends release to vm-1 with key lot-1
    And caller B sends release to vm-2 with key lot-1
    And caller C sends chat to vm-1 for 20 tokens
    And all callers have ended
    Then expect caller A not run
    And expect caller B answered or not run
    And expect caller C answered
    When 8000 milliseconds pass
    And caller D sends release to vm-2 with key lot-1
    And caller E sends release to vm-1 with key lot-1
    And caller F sends chat to vm-1 for 20 tokens
    And all callers have ended
    Then expect caller D answered
    And expect caller E not run
    And expect caller F answered
    And expect key lot-1 executed 1 time
    When I reconnect "north" and "middle"
    And I reconnect "north" and "south"
    And the platform seen from "north" has the faults {}
    And 5000 milliseconds pass
    And caller G sends release to vm-1 with key lot-1
    And caller G has ended
    Then expect caller G answered
    And expect key lot-1 executed 1 time

  @once
  Scenario: A key is not executed again after the retention period
    Given a fleet of 3 routers and a platform with "--retention-millis 5000"
    When caller A sends release to vm-1 with key lot-1
    And caller A has ended
    And 8000 milliseconds pass
    And caller B sends release to vm-2 with key lot-1
    And caller B has ended
    And I restart vm-3
    And caller C sends release to vm-3 with key lot-1
    And all callers have ended
    Then expect caller A answered
    And expect key lot-1 executed 1 time
