Feature: Timeline of events from several hosts
  Scenario: an effect is ordered after its cause although its host's clock is behind
    Given the clock of host a at 100.0 s and of host b at 90.0 s
    When a records "lease_lost" and b records "resumed" after a message from a
    Then the order is "lease_lost, resumed"

  Scenario: a packed batch contains the same events when it is unpacked
    Given host a recorded 5 events
    When they are packed and unpacked
    Then they equal the recorded events

  Scenario: hosts over the limit drop the routine events of the same requests
    Given hosts a and b each recorded 3 routine events of 400 generations
    And host a recorded 7 failures
    When both sample at most 300 events
    Then 7 failures remain
    And a generation is kept whole or dropped, and a keeps only those that b keeps
    And between 60 and 140 generations remain

  Scenario: events lost by a restart and events of a silent host are shown as gaps
    Given host a recorded 5 events
    And host a was restarted and recorded 2 events
    When the timeline is drawn while host b does not answer
    Then the gaps are "b: the host does not answer, a: the host was restarted"

  Scenario: the page shows silences and gaps
    Given a generation that failed on a and resumed on b after 420 ms
    When the timeline is drawn while host c does not answer
    Then the page has a band "silence 420 ms"
    And the page has a band "the host does not answer"
    And the page loads nothing from outside
