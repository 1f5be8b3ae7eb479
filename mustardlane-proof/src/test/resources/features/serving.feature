Feature: Refusals, leaving targets and planned shutdowns

  @refusal
  Scenario: All engines reject requests, and callers get the outcome not-run
    Given a fleet of 3 routers
    And all engines have the faults {"refuse":true}
    When 12 callers chat send chat to all routers for 10 tokens
    Then expect callers chat not run

  @refusal
  Scenario: One engine rejects requests, and the others serve them
    Given a fleet of 3 routers
    And target "engine-1" has the faults {"refuse":true}
    When 32 callers chat send chat to all routers for 10 tokens
    Then expect callers chat answered

  @leaving
  Scenario: A target that reports that it is leaving gets no new requests after three seconds
    Given a fleet of 3 routers
    When 24 callers before send chat to all routers for 10 tokens
    And callers before have ended
    And target "engine-1" has the faults {"leaving":true}
    And 3000 milliseconds pass
    And 64 callers after send chat to all routers for 10 tokens
    Then expect callers after answered
    And expect engine-1 to have started no request of callers after

  @leaving
  Scenario: A target whose VM is listed as leaving gets no new requests after three seconds
    Given a fleet of 3 routers
    When the VM list names engine-1 as leaving
    And 3000 milliseconds pass
    And 64 callers after send chat to all routers for 10 tokens
    Then expect callers after answered
    And expect engine-1 to have started no request of callers after

  @stop
  Scenario: Draining a router under load interrupts no request
    Given a fleet of 3 routers
    When 24 callers before send chat to all routers for 200 tokens
    And caller before-0 has received 50 bytes
    And I drain vm-1
    And vm-1 has exited
    Then expect callers before answered

  @stop
  Scenario: Two of three routers are drained one after the other under load
    Given a fleet of 3 routers
    When 24 callers before send chat to all routers for 200 tokens
    And caller before-0 has received 50 bytes
    And I drain vm-1
    And I drain vm-2
    And 12 callers later send chat to all routers for 20 tokens
    And vm-1 has exited
    And vm-2 has exited
    Then expect callers before answered
    And expect callers later answered or not run

  @stop
  Scenario: Five of eight routers are drained together under load
    Given a fleet of 8 routers
    When 64 callers before send chat to all routers for 200 tokens
    And 16 callers lot send release to all routers with a key each
    And caller before-0 has received 50 bytes
    And I drain vm-1
    And I drain vm-2
    And I drain vm-3
    And I drain vm-4
    And I drain vm-5
    And vm-1 has exited
    And vm-2 has exited
    And vm-3 has exited
    And vm-4 has exited
    And vm-5 has exited
    And 24 callers after send chat to all routers for 20 tokens
    Then expect callers before answered
    And expect callers lot answered
    And expect callers after answered

  @leaving
  Scenario: A flapping target does not affect the other requests
    Given a fleet of 3 routers
    When target "engine-1" has the faults {"leaving":true}
    And 24 callers one send chat to all routers for 40 tokens
    And target "engine-1" has the faults {}
    And 24 callers two send chat to all routers for 40 tokens
    And target "engine-1" has the faults {"resetConnections":true}
    And 24 callers three send chat to all routers for 40 tokens
    And target "engine-1" has the faults {}
    Then expect callers one answered
    And expect callers two answered
    And expect callers three answered

  @slow
  Scenario: Two engines cannot be reached
    Given a fleet of 3 routers
    And the link to engine-1 is SILENT
    And the link to engine-2 is RESET
    When 64 callers chat send chat to all routers for 20 tokens
    Then expect callers chat answered

  @owner
  Scenario Outline: A router that owns engines or claims is killed or frozen
    Given a fleet of 6 routers
    When 24 callers before send chat to all routers for 20 tokens
    And I <fault> <vm>
    And 5000 milliseconds pass
    And caller A sends chat to vm-4 for 20 tokens
    And caller B sends chat to vm-5 for 20 tokens
    And caller C sends chat to vm-6 for 20 tokens
    And caller D sends release to vm-5 with key lot-1
    And caller E sends release to vm-6 with key lot-2
    Then expect caller A answered
    And expect caller B answered
    And expect caller C answered
    And expect caller D answered
    And expect caller E answered
    When I <recovery> <vm>

    Examples:
      | fault  | vm   | recovery |
      | kill   | vm-1 | restart  |
      | kill   | vm-2 | restart  |
      | freeze | vm-3 | resume   |
      | freeze | vm-1 | resume   |

  @slow
  Scenario: Two of eight engines run ten times slower
    Given a fleet of 3 routers
    And target "engine-1" has the faults {"slowFactor":10}
    And target "engine-2" has the faults {"slowFactor":10}
    When 64 callers chat send chat to all routers for 20 tokens
    Then expect callers chat answered

  @slow
  Scenario: One engine is frozen
    Given a fleet of 3 routers
    And target "engine-1" has the faults {"frozen":true}
    When 64 callers chat send chat to all routers for 20 tokens
    Then expect callers chat answered
