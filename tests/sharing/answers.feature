Feature: What a reader answers the other fronts of its zone
  Scenario: it waits for a change
    Given a reader that heard the store 0.1 s ago at version 10
    When a front asks for changes after 10, for 0.5 s
    And version 11 comes after 0.1 s
    Then the answer came after 0.1 s with 1 row and version 11

  Scenario: without a change it says how far it has read
    Given a reader that heard the store 0.1 s ago at version 10
    When a front asks for changes after 10, for 0.2 s
    Then the answer came after 0.2 s with 0 rows and version 10

  Scenario: a front that knows more is not sent back
    Given a reader that heard the store 0.1 s ago at version 10
    When a front asks for changes after 12, for 0.1 s
    Then the answer came after 0.1 s with 0 rows and version 12

  Scenario: a reader that lost the store says so
    Given a reader that heard the store 2.1 s ago at version 10
    When a front asks for changes after 10, for 0.2 s
    Then it is told after 0.2 s that the reader hears no store

  Scenario: a reader that loses the store while a front waits says so
    Given a reader that heard the store 1.9 s ago at version 10
    When a front asks for changes after 10, for 0.3 s
    Then it is told after 0.3 s that the reader hears no store

  Scenario: a reader that loses the store gives no old table
    Given a reader that heard the store 3.0 s ago at version 10
    When a front asks for the whole table, for 0.1 s
    Then it is told after 0.1 s that the reader hears no store

  Scenario: a reader that has just started tells the table when it has it
    Given a reader that has read nothing
    When a front asks for the whole table, for 0.5 s
    And the table comes after 0.1 s at version 7
    Then the answer came after 0.1 s with 1 row and version 7

  Scenario: changes that are no longer known
    Given a reader that heard the store 0.1 s ago at version 10
    When a front asks for changes after 9, for 0.1 s
    Then it is told to read the whole table
