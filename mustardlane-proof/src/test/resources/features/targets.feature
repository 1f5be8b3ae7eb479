Feature: The stand-ins and the response checker
  The other scenarios rely on the checker to tell complete responses from truncated and foreign ones.

  @ci @targets
  Scenario Outline: The checker classifies the response of a faulty engine
    Given targets without routers
    And target "engine-1" has the faults <faults>
    When caller A sends a request directly to engine-1 for 20 tokens
    Then expect the response bytes of caller A to be <verdict>

    Examples:
      | faults                 | verdict |
      | {}                     | WHOLE   |
      | {"breakAfterBytes":60} | SHORT   |
      | {"shortAnswer":true}   | SHORT   |
