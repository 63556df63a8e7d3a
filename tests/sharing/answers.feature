Feature: Answers of a zone's reader to the other fronts
  Scenario: the reader answers as soon as a row changes
    Given a reader that reached the store 0.1 s ago at version 10
    When a front requests changes after 10, waiting 0.5 s
    And version 11 is read after 0.1 s
    Then the answer arrives after 0.1 s with 1 row and version 11

  Scenario: without a change the answer holds the current version
    Given a reader that reached the store 0.1 s ago at version 10
    When a front requests changes after 10, waiting 0.2 s
    Then the answer arrives after 0.2 s with 0 rows and version 10

  Scenario: the version in an answer is never below the requested one
    Given a reader that reached the store 0.1 s ago at version 10
    When a front requests changes after 12, waiting 0.1 s
    Then the answer arrives after 0.1 s with 0 rows and version 12

  Scenario: a reader that has lost the store answers with an error
    Given a reader that reached the store 2.1 s ago at version 10
    When a front requests changes after 10, waiting 0.2 s
    Then the request fails after 0.2 s because the reader has no store

  Scenario: a reader that loses the store while a front waits answers with an error
    Given a reader that reached the store 1.9 s ago at version 10
    When a front requests changes after 10, waiting 0.3 s
    Then the request fails after 0.3 s because the reader has no store

  Scenario: a reader that has lost the store does not send an outdated table
    Given a reader that reached the store 3.0 s ago at version 10
    When a front requests the whole table, waiting 0.1 s
    Then the request fails after 0.1 s because the reader has no store

  Scenario: a reader that has just started answers once it has read the table
    Given a reader that has read nothing
    When a front requests the whole table, waiting 0.5 s
    And the table is read after 0.1 s at version 7
    Then the answer arrives after 0.1 s with 1 row and version 7

  Scenario: a request for changes that are no longer kept is refused
    Given a reader that reached the store 0.1 s ago at version 10
    When a front requests changes after 9, waiting 0.1 s
    Then the request fails because the changes are not kept
