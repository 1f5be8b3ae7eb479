Feature: The path from caller to target

  @ci @path
  Scenario: A chat and a lot release go through every router
    Given a fleet of 3 routers
    When caller A sends chat to vm-1 for 40 tokens
    And caller B sends chat to vm-2 for 40 tokens
    And caller C sends triage to vm-3 for 5 tokens
    And caller D sends release to vm-1 with key lot-1
    And caller E sends status to vm-2
    Then expect callers A answered
    And expect callers B answered
    And expect callers C answered
    And expect callers D answered
    And expect callers E answered
    And expect key lot-1 executed 1 time

  @path
  Scenario: Many concurrent callers get the responses to their own requests
    Given a fleet of 3 routers
    When 120 callers chat send chat to all routers for 30 tokens
    And 60 callers lot send release to all routers with a key each
    Then expect callers chat answered
    And expect callers lot answered

  @ci @path
  Scenario: Invalid requests are refused with an error code
    Given a fleet of 3 routers
    When caller A sends release to vm-1
    And caller B sends nothing to vm-1
    Then expect caller A refused with code KEY_REQUIRED
    And expect caller B refused with code UNKNOWN_ENTRY

  @path
  Scenario: Fifteen routers serve requests
    Given a fleet of 15 routers
    When 60 callers chat send chat to all routers for 20 tokens
    And 30 callers lot send release to all routers with a key each
    Then expect callers chat answered
    And expect callers lot answered
