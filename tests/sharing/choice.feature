Feature: Election of the front that reads the store for its zone
  Scenario: the first front of a zone becomes its reader
    Given a front f1
    When it finds no row at 1 s
    Then it takes over
    And it polls as a reader at 2 s

  Scenario: a front uses the reader that the row names
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    Then it uses reader f2
    And it does not check the row again

  Scenario: a reader that does not answer is replaced
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    And f2 does not answer at 2 s
    Then it reads the store itself
    And it checks the row again before 2.5 s
    When it finds the row of f2 with version 5 at 2.4 s
    Then it takes over

  Scenario: a front that has lost its reader polls as one that others may ask
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    Then it does not poll as a reader at 10 s
    When f2 does not answer at 10 s
    Then it polls as a reader at 10.1 s

  Scenario: another front replaces a failed reader first
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    And f2 does not answer at 2 s
    And it finds the row of f3 with version 6 at 2.4 s
    Then it uses reader f3

  Scenario: a late failure of an earlier reader changes nothing
    Given a front f1
    When it finds the row of f2 with version 5 at 1 s
    And f2 does not answer at 2 s
    And it finds the row of f3 with version 6 at 2.4 s
    And a late failure of f2 is reported at 2.5 s
    Then it uses reader f3

  Scenario: a row written by an earlier process of the same host is replaced
    Given a front f1
    When it finds the row of an earlier f1 with version 5 at 1 s
    Then it takes over

  Scenario: a reader that gets requests checks the row as seldom as without
    Given a front f1
    When it finds its own row with version 5 at 1 s
    And other fronts send it requests until 10 s
    Then it polls as a reader at 11 s
    And it does not check the row at 10.9 s
    And it checks the row again before 11.1 s
    When it finds its own row with version 5 at 11.1 s
    Then it reads the store itself
    And it does not check the row at 21 s

  Scenario: a reader that gets requests finds that it was replaced
    Given a front f1
    When it finds its own row with version 5 at 1 s
    And other fronts send it requests until 10 s
    And it finds the row of f2 with version 6 at 11.1 s
    Then it uses reader f2

  Scenario: a reader without requests checks the row for another reader
    Given a front f1
    When it finds its own row with version 5 at 1 s
    Then it checks the row again before 12 s
    And it does not poll as a reader at 12 s
