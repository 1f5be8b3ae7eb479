Feature: An accepted catalogue change takes effect on all routers and never reverts

  @ci @catalogue
  Scenario: Two operators change the same entry concurrently
    Given a fleet of 3 routers
    And the catalogue revisions of all routers are monitored
    When operator one changes entry status to a limit of 20000 ms through vm-1
    And operator two changes entry status to a limit of 30000 ms through vm-2
    Then expect one of operators one and two accepted and the other to get the winning revision

  @catalogue
  Scenario: A change is in force on fifteen routers within five seconds
    Given a fleet of 15 routers
    And the catalogue revisions of all routers are monitored
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one to get verdict ACCEPTED
    And expect the change of operator one in force on all routers within 5000 ms

  @catalogue
  Scenario: The response to the append of a change is lost
    Given a fleet of 3 routers
    And the catalogue revisions of all routers are monitored
    And the platform has the faults {"loseAppendAnswers":1,"streamPrefix":"catalogue"}
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one to get verdict ACCEPTED
    And expect the change of operator one in force on all routers

  @ci @catalogue
  Scenario: Routers keep serving with the catalogue they have during a platform outage
    Given a fleet of 3 routers
    And the catalogue revisions of all routers are monitored
    And the platform has the faults {"outage":true}
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one to get verdict UNAVAILABLE
    When caller A sends chat to vm-2 for 20 tokens
    Then expect caller A answered

  @catalogue
  Scenario: The platform does not respond for longer than the read timeout
    Given a fleet of 3 routers
    And the catalogue revisions of all routers are monitored
    And the platform has the faults {"silent":true}
    And 12000 milliseconds pass
    And the platform has the faults {}
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one to get verdict ACCEPTED
    And expect the change of operator one in force on all routers

  @catalogue
  Scenario: A domain without access to the platform gets a change from its peers
    Given a fleet of 6 routers
    And the catalogue revisions of all routers are monitored
    And the platform seen from "north" has the faults {"silent":true}
    When operator one changes entry status to a limit of 20000 ms through vm-2
    Then expect operator one to get verdict ACCEPTED
    And expect the change of operator one in force on all routers within 5000 ms

  @catalogue
  Scenario: A fully partitioned domain gets a change after the partition ends
    Given a fleet of 6 routers
    And the catalogue revisions of all routers are monitored
    And the platform seen from "north" has the faults {"silent":true}
    And I partition "north" from "middle"
    And I partition "north" from "south"
    When operator one changes entry status to a limit of 20000 ms through vm-2
    Then expect operator one to get verdict ACCEPTED
    When caller A sends chat to vm-1 for 20 tokens
    Then expect caller A answered
    When I reconnect "north" and "middle"
    And I reconnect "north" and "south"
    And the platform seen from "north" has the faults {}
    Then expect the change of operator one in force on all routers within 5000 ms

  @catalogue
  Scenario: A router that starts during a platform outage refuses requests until it has the catalogue
    Given a fleet of 3 routers
    And the catalogue revisions of all routers are monitored
    And the platform has the faults {"outage":true}
    When I start vm-9 in "north"
    And caller A sends chat to vm-9 for 20 tokens
    And caller A has ended
    And the platform has the faults {}
    Then expect vm-9 to reach the catalogue revision of the other routers
    When caller B sends chat to vm-9 for 20 tokens
    Then expect caller A answered or not run
    And expect caller B answered

  @catalogue
  Scenario: A router that starts after the retention period gets the complete catalogue
    Given a fleet of 3 routers and a platform with "--retention-millis 6000"
    And the catalogue revisions of all routers are monitored
    When 15000 milliseconds pass
    And I start vm-9 in "north"
    Then expect vm-9 to reach the catalogue revision of the other routers
    When caller A sends chat to vm-9 for 20 tokens
    Then expect caller A answered
