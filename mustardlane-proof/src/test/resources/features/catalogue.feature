Feature: An accepted catalogue change is in force everywhere and never reverts

  @ci @catalogue
  Scenario: Two operators change one entry at once
    Given a fleet of 3 routers
    And all revisions are watched
    When operator one changes entry status to a limit of 20000 ms through vm-1
    And operator two changes entry status to a limit of 30000 ms through vm-2
    Then expect one of operators one and two accepted and the other told of the winner

  @catalogue
  Scenario: A change is in force on fifteen routers within five seconds
    Given a fleet of 15 routers
    And all revisions are watched
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one told ACCEPTED
    And expect the change of operator one in force on all routers within 5000 ms

  @catalogue
  Scenario: The answer to a publish is lost
    Given a fleet of 3 routers
    And all revisions are watched
    And the platform has the faults {"loseAppendAnswers":1,"streamPrefix":"catalogue"}
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one told ACCEPTED
    And expect the change of operator one in force on all routers

  @ci @catalogue
  Scenario: The platform is out, and the routers go on with what they know
    Given a fleet of 3 routers
    And all revisions are watched
    And the platform has the faults {"outage":true}
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one told UNAVAILABLE
    When caller A sends chat to vm-2 for 20 tokens
    Then expect caller A answered

  @catalogue
  Scenario: The platform is silent for longer than the patience of a read
    Given a fleet of 3 routers
    And all revisions are watched
    And the platform has the faults {"silent":true}
    And 12000 milliseconds pass
    And the platform has the faults {}
    When operator one changes entry status to a limit of 20000 ms through vm-1
    Then expect operator one told ACCEPTED
    And expect the change of operator one in force on all routers

  @catalogue
  Scenario: A domain that has lost the platform learns a change from its peers
    Given a fleet of 6 routers
    And all revisions are watched
    And the platform seen from "north" has the faults {"silent":true}
    When operator one changes entry status to a limit of 20000 ms through vm-2
    Then expect operator one told ACCEPTED
    And expect the change of operator one in force on all routers within 5000 ms

  @catalogue
  Scenario: A domain that was cut off from everything learns a change when the cut heals
    Given a fleet of 6 routers
    And all revisions are watched
    And the platform seen from "north" has the faults {"silent":true}
    And I cut "north" from "middle"
    And I cut "north" from "south"
    When operator one changes entry status to a limit of 20000 ms through vm-2
    Then expect operator one told ACCEPTED
    When caller A sends chat to vm-1 for 20 tokens
    Then expect caller A answered
    When I join "north" and "middle"
    And I join "north" and "south"
    And the platform seen from "north" has the faults {}
    Then expect the change of operator one in force on all routers within 5000 ms

  @catalogue
  Scenario: A router that starts while the platform is away refuses until it knows the catalogue
    Given a fleet of 3 routers
    And all revisions are watched
    And the platform has the faults {"outage":true}
    When I start vm-9 in "north"
    And caller A sends chat to vm-9 for 20 tokens
    And caller A has ended
    And the platform has the faults {}
    Then expect vm-9 to show the revision of the others
    When caller B sends chat to vm-9 for 20 tokens
    Then expect caller A answered or not run
    And expect caller B answered

  @catalogue
  Scenario: A router that starts after retention has passed gets the whole catalogue
    Given a fleet of 3 routers and a platform with "--retention-millis 6000"
    And all revisions are watched
    When 15000 milliseconds pass
    And I start vm-9 in "north"
    Then expect vm-9 to show the revision of the others
    When caller A sends chat to vm-9 for 20 tokens
    Then expect caller A answered
