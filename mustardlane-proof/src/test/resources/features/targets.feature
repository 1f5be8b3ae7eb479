Feature: The stand-ins and the checker
  What the other scenarios rest on: the checker tells whole answers from short and foreign ones.

  @ci @targets
  Scenario Outline: The checker judges an answer of an engine with a fault
    Given targets without routers
    And target "engine-1" has the faults <faults>
    When caller A asks engine-1 itself for 20 tokens
    Then expect the bytes of caller A <verdict>

    Examples:
      | faults                | verdict |
      | {}                    | WHOLE   |
      | {"breakAfterBytes":60} | SHORT   |
      | {"shortAnswer":true}  | SHORT   |
