Feature: The time line over hosts
  Scenario: an effect follows its cause although its host's clock is behind
    Given host a at 100.0 s and host b at 90.0 s
    When a records "lease_lost" and b, told of it, records "resumed"
    Then the order is "lease_lost, resumed"

  Scenario: a batch read back holds the same events
    Given host a recorded 5 events
    When they are shipped and read back
    Then they equal what was recorded

  Scenario: too many events drop routine ones of whole requests, alike on all hosts
    Given hosts a and b each recorded 3 routine events of 400 generations
    And host a recorded 7 failures
    When both ship at most 300 events
    Then 7 failures remain
    And each generation is kept whole or not at all on both hosts
    And between 60 and 140 generations remain

  Scenario: what a restarted or silent host did not ship is marked
    Given host a recorded 5 events
    And host a was restarted and recorded 2 events
    When the time line is drawn while host b does not answer
    Then the gaps are "b: the host does not answer, a: the host was restarted"

  Scenario: the page marks failure, silence and resume
    Given a generation that failed on a and resumed on b after 420 ms
    When the time line is drawn while host c does not answer
    Then the page has a band "silence 420 ms"
    And the page has a band "the host does not answer"
    And the page refers to nothing outside itself
