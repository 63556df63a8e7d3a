Feature: What a front can tell others of a table it has read
  Scenario: changes after a version, with what was removed
    Given a table read at version 10 with rows a b
    When version 12 changes a and removes b
    Then the changes after 10 are a and no b, up to version 12
    And the whole table is a

  Scenario: who knows less than the first reading must read the whole table
    Given a table read at version 10 with rows a b
    Then changes after 9 cannot be told
    And changes after 10 can be told

  Scenario: removed rows are not kept for ever
    Given a table read at version 10 with rows a b
    When 2001 rows come and go from version 11 on
    Then at most 2000 removed rows are kept
    And changes after 11 cannot be told
    And the whole table is a b

  Scenario: a table read again forgets what was told before
    Given a table read at version 10 with rows a b
    When it is read again at version 20 with rows c
    Then the whole table is c
    And changes after 19 cannot be told
