Feature: Software versions that a service has or had lately
  Scenario Outline: versions of the servers that come and go
    Given a directory at 100 s
    When <events>
    Then the versions at <asked> s are <versions>

    Examples:
      | events                                          | asked | versions |
      | e1 comes with v1, e2 comes with v1              | 101   | v1       |
      | e1 comes with v1, e2 comes with v2              | 101   | v1 v2    |
      | e1 comes with v1, e2 comes with v2, e1 goes     | 101   | v1 v2    |
      | e1 comes with v1, e1 is draining                | 101   | v1       |
      | e1 comes with v1, e1 comes with v2              | 101   | v1 v2    |
      | e1 comes with v1, e1 is replaced                | 101   | v1       |
      | e1 goes                                         | 101   |          |

  Scenario: a version without servers is forgotten later than any stream lasts
    Given a directory at 100 s
    When e1 comes with v1, e2 comes with v2, e1 goes
    Then the versions at 101 s are v1 v2
    And the versions at 200 s are v1 v2
    And the versions at 222 s are v2
