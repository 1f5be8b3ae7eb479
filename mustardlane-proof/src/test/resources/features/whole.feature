Feature: Every caller receives the complete response to its own request

  @whole
  Scenario Outline: A stream breaks once at a given byte and the response is still complete
    Given a fleet of 3 routers
    And all engines have the faults {"breakAfterBytes":<bytes>,"times":1}
    When 16 callers chat send chat to all routers for 40 tokens
    Then expect callers chat answered

    Examples:
      | bytes |
      | 0     |
      | 5     |
      | 17    |
      | 18    |
      | 100   |
      | 256   |
      | 257   |

  @ci @whole
  Scenario: A stream breaks in the middle and the response is still complete
    Given a fleet of 3 routers
    And all engines have the faults {"breakAfterBytes":100,"times":1}
    When 16 callers chat send chat to all routers for 40 tokens
    Then expect callers chat answered

  @whole
  Scenario: An engine truncates its responses but ends them normally
    Given a fleet of 3 routers
    And target "engine-1" has the faults {"shortAnswer":true}
    When 32 callers chat send chat to all routers for 40 tokens
    Then expect callers chat answered

  @whole
  Scenario: All engines truncate their responses
    Given a fleet of 3 routers
    And all engines have the faults {"shortAnswer":true}
    When 8 callers chat send chat to all routers for 40 tokens
    Then expect callers chat not answered

  @whole
  Scenario: An engine returns the responses to other requests
    Given a fleet of 3 routers
    And target "engine-2" has the faults {"wrongEcho":true}
    When 32 callers chat send chat to all routers for 40 tokens
    Then expect callers chat answered

  @whole
  Scenario: An engine stalls after the first token
    Given a fleet of 3 routers
    And target "engine-3" has the faults {"stallAfterFirstToken":true}
    When 32 callers chat send chat to all routers for 40 tokens
    Then expect callers chat answered

  @whole
  Scenario: Each replica of a service truncates one response
    Given a fleet of 3 routers
    And all services have the faults {"shortAnswer":true,"times":1}
    When 12 callers status send status to all routers
    Then expect callers status answered

  @whole
  Scenario: A non-idempotent stream breaks and is resumed on the same engine
    Given a fleet of 3 routers
    And all engines have the faults {"breakAfterBytes":100,"times":1}
    When 16 callers record send record to all routers for 40 tokens with a key each
    Then expect callers record answered

  @whole
  Scenario: Engines reset connections before they start
    Given a fleet of 3 routers
    And all engines have the faults {"resetConnections":true,"times":1}
    When 16 callers chat send chat to all routers for 40 tokens
    Then expect callers chat answered

  @whole
  Scenario: A router is killed in the middle of streams
    Given a fleet of 3 routers
    When caller A sends chat to vm-1 for 300 tokens
    And caller B sends chat to vm-2 for 300 tokens
    And caller A has received 200 bytes
    And I kill vm-1
    Then expect caller A not answered
    And expect the response bytes of caller A to be SHORT
    And expect caller B answered
