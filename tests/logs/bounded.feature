Feature: Logs are bounded and never block
  Scenario: only routine lines are dropped, and their number is logged
    Given a log whose reader keeps up
    When 1000 routine lines and 50 failure lines are written at once
    Then the log has all 50 failure lines
    And the log has at most 200 routine lines
    And the log has the number of dropped lines

  Scenario: a reader that does not read does not block writing
    Given a log whose reader does not read
    When 50000 failure lines are written at once
    Then writing took less than 10 s
    And at most 1 MiB is buffered

  Scenario: explain shows a request's lines in order, with those of its servers
    Given the logs of two hosts
    When request r1 is explained
    Then the output has the failed send, the suspect server and the end, in order
    And a request that is in no log ends with exit code 1
