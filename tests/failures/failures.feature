Feature: Failures do not lose, repeat or mix tokens of generations
  The scenarios run real processes: hosts a and c in one availability zone, b
  and d in another, and four engines.  At the end of each scenario the tokens
  that each caller received are compared with the engines' records; each caller
  must have received its whole text or an explicit error.

  Scenario Outline: an engine dies and its work goes on elsewhere
    Given the service is <policy>
    And engines take 400 ms for the prefill
    And caller x of hosts ab requests 40 tokens
    And the engine of x dies after <tokens> tokens
    Then x receives all 40 tokens
    And 1 engine has died

    Examples:
      | policy  | tokens |
      | patient | 1      |
      | patient | 20     |
      | patient | 40     |
      | eager   | 1      |
      | eager   | 40     |

  Scenario: engines die again during each resume
    Given engines take 400 ms for the prefill
    And caller x of hosts ab requests 40 tokens
    And the engine of x dies after 10 tokens
    And every other engine dies after 4 tokens
    When 3 engines have died and all recover
    Then x receives all 40 tokens

  Scenario Outline: two engines are killed together
    Given the service is <policy>
    And caller x of hosts abcd requests 300 tokens
    And 8 callers of all hosts request 300 tokens
    When x has 40 tokens and two engines with running work are killed
    Then all callers receive all 300 tokens

    Examples:
      | policy  |
      | patient |
      | eager   |

  Scenario Outline: an engine freezes and wakes after its work was moved
    Given the service is <policy>
    And caller x of hosts ab requests 800 tokens
    When x has 40 tokens and its engine is frozen
    And x has 100 tokens and the engine is resumed
    Then x receives all 800 tokens
    And the engines recorded 2 runs of x

    Examples:
      | policy  |
      | patient |
      | eager   |

  Scenario: the entry host is killed and the caller goes to another
    Given caller x of hosts abcd requests 200 tokens
    And caller y of hosts cd follows the same generation
    When x has 40 tokens and host a is killed
    Then x receives all 200 tokens
    And y receives all 200 tokens
    And x reconnected

  Scenario: the entry host is paused past its peers' patience and wakes
    Given caller x of hosts bdac requests 800 tokens
    When x has 40 tokens and host b is paused
    And x has 150 tokens and host b is resumed
    Then host b records that x has moved and delivers no more tokens of it
    And x receives all 800 tokens
    And reading x again at host b gives the same text

  Scenario: owner and replica are lost together
    Given caller x of hosts acbd requests 800 tokens
    When x has 40 tokens and host a is killed with the replica of x
    Then x ends with generation_lost

  Scenario: the zones are cut from each other in mid stream
    Given caller x of hosts a requests 600 tokens
    And caller y of hosts b requests 600 tokens
    And caller z of hosts bac requests 600 tokens
    When z has 40 tokens and the zones are disconnected
    And z reconnects to a host in the other zone
    Then z receives all 600 tokens
    And x receives all 600 tokens
    And y receives all 600 tokens

  Scenario: the zones are cut and each side goes on with one generation
    Given caller x of hosts ab requests 1000 tokens
    And caller y of hosts bd follows the same generation
    When y has 40 tokens and the zones are disconnected
    And x has 40 tokens and its engine is killed
    And the zones are reconnected after 2 seconds
    And x reconnects to a host in the other zone
    Then x either receives the whole text or fails with generation_lost
    And y receives all 1000 tokens

  Scenario: the platform is down for the whole of it
    Given the platform is down
    And caller x of hosts ab requests 400 tokens
    When x has 40 tokens and its engine is killed
    And x has 100 tokens and host a is killed
    Then x receives all 400 tokens

  Scenario: a caller leaves and its engine's work is cancelled
    Given caller x of hosts a requests 100000 tokens
    When x has 40 tokens and disconnects
    Then its engine computes tokens for less than 1 s more

  Scenario: slow callers take no memory
    Given engines compute as fast as they can
    When 24 callers of host c request 100000 tokens and read none
    Then the memory of host c grows by less than 3 MiB in 5 s

  Scenario: a repeated POST joins the generation, also at another host
    Given caller x of hosts a requests 200 tokens under key k
    And caller y of hosts a requests 200 tokens under key k
    And caller z of hosts c requests 200 tokens under key k
    Then x receives all 200 tokens
    And y receives the same text as x
    And z receives the same text as x
    And the engines recorded 1 runs of x
