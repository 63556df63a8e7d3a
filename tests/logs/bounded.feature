Feature: Logs are bounded and never block
  Scenario: routine lines are left out first, and told
    Given a log whose reader keeps up
    When 1000 routine lines and 50 lines of failures are written at once
    Then all 50 lines of failures are there
    And at most 200 routine lines are there
    And the lines left out are told

  Scenario: a reader that is away stops nobody
    Given a log whose reader is away
    When 50000 lines of failures are written at once
    Then writing took less than 10 s
    And at most 1 MiB is kept

  Scenario: a request's story is told in order, with beliefs about its servers
    Given the logs of two hosts
    When the story of request r1 is asked for
    Then it tells of the failed send, the suspect server and the end, in order
    And a request that no log knows ends with exit code 1
