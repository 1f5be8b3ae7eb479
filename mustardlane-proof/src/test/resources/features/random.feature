Feature: Random faults
  Sends requests with many keys and retries each key until it is answered, while random faults are injected and repaired.

  @random
  Scenario Outline: No key is executed twice, and no executed request is reported as not run
    Given a fleet of 6 routers
    When <keys> release requests with a key each are sent at <rate> per second under random faults with seed <seed>
    Then all callers have ended

    Examples:
      | keys | rate | seed |
      | 1500 | 40   | 1    |
      | 1500 | 40   | 2    |
      | 1500 | 40   | 3    |
