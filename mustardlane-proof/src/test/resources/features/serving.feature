Feature: Refusals, leaving targets and planned stops

  @refusal
  Scenario: All engines refuse, and callers hear that nothing has run
    Given a fleet of 3 routers
    And all engines have the faults {"refuse":true}
    When 12 callers chat send chat to all routers for 10 tokens
    Then expect callers chat not run

  @refusal
  Scenario: One engine refuses, and the others serve
    Given a fleet of 3 routers
    And target "engine-1" has the faults {"refuse":true}
    When 32 callers chat send chat to all routers for 10 tokens
    Then expect callers chat answered

  @leaving
  Scenario: A target that says that it leaves gets no new work after three seconds
    Given a fleet of 3 routers
    When 24 callers before send chat to all routers for 10 tokens
    And callers before have ended
    And target "engine-1" has the faults {"leaving":true}
    And 3000 milliseconds pass
    And 64 callers after send chat to all routers for 10 tokens
    Then expect callers after answered
    And expect engine-1 to have started nothing since callers after

  @leaving
  Scenario: A target whose VM is listed as leaving gets no new work after three seconds
    Given a fleet of 3 routers
    When the VM list names engine-1 as leaving
    And 3000 milliseconds pass
    And 64 callers after send chat to all routers for 10 tokens
    Then expect callers after answered
    And expect engine-1 to have started nothing since callers after

  @stop
  Scenario: A planned stop under load cuts off no request
    Given a fleet of 3 routers
    When 24 callers before send chat to all routers for 200 tokens
    And caller before-0 has received 50 bytes
    And I drain vm-1
    And vm-1 has ended
    Then expect callers before answered

  @stop
  Scenario: Two of three routers stop one after the other under load
    Given a fleet of 3 routers
    When 24 callers before send chat to all routers for 200 tokens
    And caller before-0 has received 50 bytes
    And I drain vm-1
    And I drain vm-2
    And 12 callers later send chat to all routers for 20 tokens
    And vm-1 has ended
    And vm-2 has ended
    Then expect callers before answered
    And expect callers later answered or not run

  @stop
  Scenario: Five of eight routers stop together under load
    Given a fleet of 8 routers
    When 64 callers before send chat to all routers for 200 tokens
    And 16 callers lot send release to all routers with a key each
    And caller before-0 has received 50 bytes
    And I drain vm-1
    And I drain vm-2
    And I drain vm-3
    And I drain vm-4
    And I drain vm-5
    And vm-1 has ended
    And vm-2 has ended
    And vm-3 has ended
    And vm-4 has ended
    And vm-5 has ended
    And 24 callers after send chat to all routers for 20 tokens
    Then expect callers before answered
    And expect callers lot answered
    And expect callers after answered

  @leaving
  Scenario: A target that flaps does not shake the rest
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
  Scenario: A target can not be reached
    Given a fleet of 3 routers
    And the link to engine-1 is SILENT
    And the link to engine-2 is RESET
    When 64 callers chat send chat to all routers for 20 tokens
    Then expect callers chat answered

  @owner
  Scenario Outline: A router that owns engines or claims is killed or frozen
    Given a fleet of 6 routers
    When 24 callers before send chat to all routers for 20 tokens
    And I <disturb> <vm>
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
    When I <mend> <vm>

    Examples:
      | disturb | vm   | mend    |
      | kill    | vm-1 | restart |
      | kill    | vm-2 | restart |
      | freeze  | vm-3 | thaw    |
      | freeze  | vm-1 | thaw    |

  @slow
  Scenario: Two of eight engines are slowed ten times
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
