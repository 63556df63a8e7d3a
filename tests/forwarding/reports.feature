Feature: Probing of engines for their load before a stream is placed
  Scenario: an idle engine of the first two is chosen without further probes
    Given engines e1 e2 e3 e4 that report 3 0 0 0 prompts waiting
    When a stream is placed
    Then it goes to e2 and 2 engines were probed

  Scenario: more engines are probed if both have prompts waiting
    Given engines e1 e2 e3 e4 that report 3 1 0 0 prompts waiting
    When a stream is placed
    Then it goes to e3 and 4 engines were probed

  Scenario: the least loaded of the probed engines is chosen if none is idle
    Given engines e1 e2 e3 that report 3 1 2 prompts waiting
    When a stream is placed
    Then it goes to e2 and 3 engines were probed

  Scenario: the number of probes is limited in a busy service
    Given engines e1 e2 e3 e4 e5 e6 e7 e8 e9 that report 9 8 7 6 5 4 3 2 1 prompts waiting
    When a stream is placed
    Then it goes to e8 and 8 engines were probed

  Scenario: engines that do not answer are skipped
    Given engines e1 e2 e3 e4 that report dead dead 2 1 prompts waiting
    When a stream is placed
    Then it goes to e4 and 4 engines were probed

  Scenario: a fresh report is reused
    Given engines e1 e2 that report 3 1 prompts waiting
    When a stream is placed
    And a stream is placed
    Then it goes to e2 and 2 engines were probed

  Scenario: if no engine answers, the stream is still sent to one of them
    Given engines e1 e2 that report dead dead prompts waiting
    When a stream is placed
    Then it goes to e1 and 2 engines were probed

  Scenario: without engines none is chosen
    Given no engines
    When a stream is placed
    Then no engine is chosen
