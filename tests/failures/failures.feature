Feature: Generations stay complete, once and unmixed through failures
  Real processes: hosts a and c in one availability zone, b and d in another,
  four engines.  At the end of each scenario what every caller received is
  compared with the engines' own records, and every caller had the whole text
  or an explicit error.

  Scenario Outline: an engine dies and its work goes on elsewhere
    Given the service is <policy>
    And engines take 400 ms to begin
    And caller x of hosts ab wants 40 tokens
    And the engine of x dies after <tokens> tokens
    Then x gets all 40 tokens
    And 1 engine has died

    Examples:
      | policy  | tokens |
      | patient | 1      |
      | patient | 20     |
      | patient | 40     |
      | eager   | 1      |
      | eager   | 40     |

  Scenario: engines die again during each resume
    Given engines take 400 ms to begin
    And caller x of hosts ab wants 40 tokens
    And the engine of x dies after 10 tokens
    And every other engine dies after 4 tokens
    When 3 engines have died they come back
    Then x gets all 40 tokens

  Scenario Outline: two engines are killed together
    Given the service is <policy>
    And caller x of hosts abcd wants 300 tokens
    And callers of all hosts want 300 tokens
    When x has 40 tokens and two engines at work are killed
    Then all callers get all 300 tokens

    Examples:
      | policy  |
      | patient |
      | eager   |

  Scenario Outline: an engine freezes and wakes after its work was moved
    Given the service is <policy>
    And caller x of hosts ab wants 800 tokens
    When x has 40 tokens and its engine is frozen
    And x has 100 tokens and the engine wakes
    Then x gets all 800 tokens
    And 2 runs worked on x

    Examples:
      | policy  |
      | patient |
      | eager   |

  Scenario: the entry host is killed and the caller goes to another
    Given caller x of hosts abcd wants 200 tokens
    And caller y of hosts cd follows the same generation
    When x has 40 tokens and host a is killed
    Then x gets all 200 tokens
    And y gets all 200 tokens
    And x reconnected

  Scenario: the entry host is paused past its peers' patience and wakes
    Given caller x of hosts bdac wants 800 tokens
    When x has 40 tokens and host b is paused
    And x has 150 tokens and host b wakes
    Then b learns that x moved and delivers no more of it
    And x gets all 800 tokens
    And host b tells the same text of x again

  Scenario: owner and replica are lost together
    Given caller x of hosts acbd wants 800 tokens
    When x has 40 tokens and host a is killed with the replica of x
    Then x ends with generation_lost

  Scenario: the zones are cut from each other in mid stream
    Given caller x of hosts a wants 600 tokens
    And caller y of hosts b wants 600 tokens
    And caller z of hosts bac wants 600 tokens
    When z has 40 tokens and the zones are cut
    And z goes to the other side
    Then z gets all 600 tokens
    And x gets all 600 tokens
    And y gets all 600 tokens

  Scenario: the zones are cut and each side goes on with one generation
    Given caller x of hosts ab wants 1000 tokens
    And caller y of hosts bd follows the same generation
    When y has 40 tokens and the zones are cut
    And x has 40 tokens and its engine is killed
    And the zones are joined after 2 seconds
    And x goes to the other side
    Then x ends whole or with generation_lost
    And y gets all 1000 tokens

  Scenario: the platform is down for the whole of it
    Given the platform is down
    And caller x of hosts ab wants 400 tokens
    When x has 40 tokens and its engine is killed
    And x has 100 tokens and host a is killed
    Then x gets all 400 tokens

  Scenario: a caller leaves and its engine's work is cancelled
    Given caller x of hosts a wants 100000 tokens
    When x has 40 tokens and leaves
    Then its engine computes for less than 1 s more

  Scenario: slow callers take no memory
    Given engines compute as fast as they can
    When 24 callers of host c want 100000 tokens and read none
    Then host c grows by less than 3 MiB in 5 s

  Scenario: a repeated POST joins the generation, also at another host
    Given caller x of hosts a wants 200 tokens under key k
    And caller y of hosts a wants 200 tokens under key k
    And caller z of hosts c wants 200 tokens under key k
    Then x gets all 200 tokens
    And y gets the same text as x
    And z gets the same text as x
    And 1 runs worked on x
