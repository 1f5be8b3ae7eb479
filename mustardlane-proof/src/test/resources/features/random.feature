Feature: Random faults
  Many keys, each sent again until it is answered, while faults of all kinds come and go.

  @random
  Scenario Outline: No key runs twice, and no refusal lies
    Given a fleet of 6 routers
    When <keys> keys are released at <rate> a second under random faults with seed <seed>
    Then all callers have ended

    Examples:
      | keys | rate | seed |
      | 1500 | 40   | 1    |
      | 1500 | 40   | 2    |
      | 1500 | 40   | 3    |
