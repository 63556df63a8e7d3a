Feature: Local copy of a table, from which changes are served
  Scenario: changes after a version include removed rows
    Given a table read at version 10 with rows a b
    When version 12 changes a and removes b
    Then the changes after 10 are row a and removal of b, up to version 12
    And the whole table is a

  Scenario: changes before the first reading are not known
    Given a table read at version 10 with rows a b
    Then changes after 9 are not known
    And changes after 10 are known

  Scenario: the number of removed rows is limited
    Given a table read at version 10 with rows a b
    When 2001 rows are removed from version 11 on
    Then at most 2000 removed rows are kept
    And changes after 11 are not known
    And the whole table is a b

  Scenario: reading the whole table again drops earlier changes
    Given a table read at version 10 with rows a b
    When it is read again at version 20 with rows c
    Then the whole table is c
    And changes after 19 are not known
