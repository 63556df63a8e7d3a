Feature: Engines that are asked for their load before a stream is placed
  Scenario: an idle one of two is taken and no third is asked
    Given engines e1 e2 e3 e4 that report 3 0 0 0 prompts waiting
    When a stream is placed
    Then it goes to e2 and 2 engines were asked

  Scenario: more are asked when both have prompts to read
    Given engines e1 e2 e3 e4 that report 3 1 0 0 prompts waiting
    When a stream is placed
    Then it goes to e3 and 4 engines were asked

  Scenario: the least loaded of those asked is taken when none is idle
    Given engines e1 e2 e3 that report 3 1 2 prompts waiting
    When a stream is placed
    Then it goes to e2 and 3 engines were asked

  Scenario: a busy service is not asked as a whole
    Given engines e1 e2 e3 e4 e5 e6 e7 e8 e9 that report 9 8 7 6 5 4 3 2 1 prompts waiting
    When a stream is placed
    Then it goes to e8 and 8 engines were asked

  Scenario: engines that do not answer are passed over
    Given engines e1 e2 e3 e4 that report dead dead 2 1 prompts waiting
    When a stream is placed
    Then it goes to e4 and 4 engines were asked

  Scenario: a report that is still fresh is used again
    Given engines e1 e2 that report 3 1 prompts waiting
    When a stream is placed
    And a stream is placed
    Then it goes to e2 and 2 engines were asked

  Scenario: where nobody answers a stream goes to some engine
    Given engines e1 e2 that report dead dead prompts waiting
    When a stream is placed
    Then it goes to e1 and 2 engines were asked

  Scenario: without engines there is nowhere to go
    Given no engines
    When a stream is placed
    Then it goes nowhere
